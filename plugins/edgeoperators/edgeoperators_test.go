package edgeoperators

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"teaselring/port"
)

func TestEdgeOperators(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge.operators")
}

const (
	readToken   = "read-token-of-the-tests"
	changeToken = "change-token-of-the-tests"
)

// A token must never grant more than its role, and an unset token must grant
// nothing.
var _ = DescribeTable("a request to a route",
	func(required port.Role, authorization, changeSetting string, status int) {
		route := port.OperatorRoute{
			Method: "POST", Path: "/v1/thing", Role: required,
			Handle: func(c *gin.Context) { c.String(http.StatusOK, port.OperatorName(c)) },
		}
		s := &Settings{ReadToken: readToken, ChangeToken: changeSetting, MaxBodyBytes: 1024}
		l := newListener(s, listenerIn{Metrics: metrics.NewRegistry(), Routes: []port.OperatorRoute{route}})
		r := httptest.NewRequest("POST", "/v1/thing", nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		l.Server.Handler.ServeHTTP(w, r)
		Expect(w.Code).To(Equal(status), w.Body.String())
	},
	Entry("change with the change token", port.RoleChange, "Bearer "+changeToken, changeToken, 200),
	Entry("read with the change token", port.RoleRead, "Bearer "+changeToken, changeToken, 200),
	Entry("change with the read token", port.RoleChange, "Bearer "+readToken, changeToken, 403),
	Entry("read with the read token", port.RoleRead, "Bearer "+readToken, changeToken, 200),
	Entry("without a token", port.RoleRead, "", changeToken, 401),
	Entry("with a wrong token", port.RoleRead, "Bearer wrong-token-of-the-tests", changeToken, 401),
	Entry("with an empty token where none is set", port.RoleChange, "Bearer ", "", 401),
	Entry("open to all", port.RoleNone, "", changeToken, 200),
)
