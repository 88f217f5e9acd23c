package edgeoperators

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"teaselring/operator"
	"teaselring/port"
	"teaselring/result"
)

// handlers authorizes requests and serves the plug-in's own routes.
type handlers struct {
	listenerIn
	settings *Settings
}

// require refuses requests whose token does not grant the role. It stores the name
// in the operator header for the audit trail.
func (h *handlers) require(required port.Role) gin.HandlerFunc {
	return func(c *gin.Context) {
		role := h.roleOf(c.GetHeader("Authorization"))
		switch {
		case required == port.RoleNone || role >= required:
			port.SetOperatorName(c, operatorName(c, role))
			c.Next()
		case role == port.RoleNone:
			abort(c, result.Unauthenticated.Err())
		default:
			abort(c, result.Forbidden.Err())
		}
	}
}

func (h *handlers) roleOf(authorization string) port.Role {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	switch {
	case !ok:
		return port.RoleNone
	case equalToken(token, h.settings.ChangeToken):
		return port.RoleChange
	case equalToken(token, h.settings.ReadToken):
		return port.RoleRead
	default:
		return port.RoleNone
	}
}

// equalToken compares digests in constant time, so that the duration reveals
// neither the length nor the content of the token.
func equalToken(given, expected string) bool {
	if expected == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(expected))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

func operatorName(c *gin.Context, role port.Role) string {
	name := c.GetHeader(operator.HeaderOperator)
	if name == "" || len(name) > 64 {
		name = "unnamed"
	}
	if role == port.RoleChange {
		return name + " (change)"
	}
	return name + " (read)"
}

func (h *handlers) readiness(c *gin.Context) {
	failed := gin.H{}
	for _, check := range h.Checks {
		if err := check.Check(); err != nil {
			failed[check.Name] = err.Error()
		}
	}
	if len(failed) > 0 {
		c.JSON(http.StatusServiceUnavailable, gin.H{"status": "not ready", "failed": failed})
		return
	}
	c.JSON(http.StatusOK, gin.H{"status": "ready"})
}

func (h *handlers) metrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	metrics.WriteJSONOnce(h.Metrics, c.Writer)
}

// setLogLevel changes the log level at run time.
func (h *handlers) setLogLevel(c *gin.Context) {
	var request operator.LogLevelRequest
	if err := c.ShouldBindJSON(&request); err != nil {
		abort(c, result.BadRequest.Errorf("body: %v", err))
		return
	}
	level := log.ParseLevel(request.Level)
	switch level {
	case log.DebugLevel, log.InfoLevel, log.WarnLevel, log.ErrorLevel:
		h.Logger.SetLevel(level)
		c.JSON(http.StatusOK, struct{}{})
	default:
		abort(c, result.BadRequest.Errorf("level = %q; allowed is debug, info, warn or error", request.Level))
	}
}

func (h *handlers) unknownRoute(c *gin.Context) {
	abort(c, result.BadRequest.Errorf("%s %s is not part of the operators' API", c.Request.Method, c.Request.URL.Path))
}

func limitBody(limit int64) gin.HandlerFunc {
	return func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, limit)
		c.Next()
	}
}

func abort(c *gin.Context, err error) {
	port.Refuse(c.Writer, err)
	c.Abort()
}
