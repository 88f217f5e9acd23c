package operatorsapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"teaselring/decision/config"
	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/operator"
	"teaselring/port"
	"teaselring/result"
)

// requestTimeout bounds the wait for the duties and the platform behind a route.
const requestTimeout = 20 * time.Second

// apply publishes the records of the body, in TOML. Query parameters:
// publication (required), base, remove (kind/id, repeated), why.
func (a *api) apply(c *gin.Context) {
	publication := c.Query("publication")
	if publication == "" {
		fail(c, result.BadRequest.Errorf("query parameter publication is required: it makes a repeated apply safe"))
		return
	}
	a.publish(c, publication, false)
}

// validate checks the records of the body against the newest version and
// writes nothing.
func (a *api) validate(c *gin.Context) { a.publish(c, "", true) }

func (a *api) publish(c *gin.Context, publication string, dryRun bool) {
	request, err := readPublish(c)
	if err != nil {
		a.refuse(c, "apply", publication, err, dryRun)
		return
	}
	request.Publication, request.DryRun = publication, dryRun
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	published, err := kernel.Do(ctx, a.in.Publish, request)
	if err != nil {
		a.refuse(c, "apply", publication, err, dryRun)
		return
	}
	c.JSON(http.StatusOK, operator.ApplyResponse{Version: published.Version, Merged: published.Merged})
}

// refuse responds with a refusal and, unless skipAudit is set, adds it to the audit
// trail.
func (a *api) refuse(c *gin.Context, action, subject string, err error, skipAudit bool) {
	if !skipAudit {
		e := result.AsError(err)
		a.addAuditEntry(port.AuditEntry{
			Who: port.OperatorName(c), Action: action + " refused", Subject: subject, Why: e.Message, Code: e.Code.Number,
		})
	}
	fail(c, err)
}

// auditTimeout bounds the wait for space in the audit ring, which is full during a
// long outage of the platform. The audit duty counts the entries that the ring
// refuses.
const auditTimeout = time.Second

func (a *api) addAuditEntry(entry port.AuditEntry) {
	if a.in.Entries == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	entry.Time = time.Now()
	_ = a.in.Entries.Send(ctx, entry)
}

func readPublish(c *gin.Context) (port.Publish, error) {
	request := port.Publish{By: port.OperatorName(c), Why: c.Query("why")}
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		return request, result.BodyTooLarge.Errorf("body: %v", err)
	}
	if request.Records, err = config.Parse(body); err != nil {
		return request, err
	}
	for _, name := range c.QueryArray("remove") {
		key, err := operator.ParseRecordKey(name)
		if err != nil {
			return request, err
		}
		request.Remove = append(request.Remove, key)
	}
	request.Base, err = versionParameter(c, "base")
	return request, err
}

// records responds with the records of a version, or of the one in force, in TOML.
func (a *api) records(c *gin.Context) {
	version, err := versionParameter(c, "version")
	if err != nil {
		fail(c, err)
		return
	}
	snapshot, err := a.snapshot(c, version)
	if err != nil {
		fail(c, err)
		return
	}
	text, err := config.Print(snapshot.Records)
	if err != nil {
		fail(c, err)
		return
	}
	c.Header(operator.HeaderVersion, strconv.FormatUint(uint64(snapshot.Version), 10))
	c.Data(http.StatusOK, operator.ContentTOML, text)
}

// diff lists the records that differ between two versions.
func (a *api) diff(c *gin.Context) {
	var snapshots [2]*mesh.Snapshot
	for i, name := range []string{"from", "to"} {
		version, err := versionParameter(c, name)
		if err == nil {
			snapshots[i], err = a.snapshot(c, version)
		}
		if err != nil {
			fail(c, err)
			return
		}
	}
	c.JSON(http.StatusOK, diffOf(snapshots[0], snapshots[1]))
}

// snapshot returns a version, from memory if it is in force, else from the platform.
// Version 0 stands for the one in force.
func (a *api) snapshot(c *gin.Context, version mesh.Version) (*mesh.Snapshot, error) {
	active := a.in.Snapshot.Load()
	if active != nil && (version == 0 || version == active.Version) {
		return active, nil
	}
	if version == 0 {
		return nil, result.NoConfiguration.Err()
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	snapshot, err := kernel.Do(ctx, a.in.History, port.History{Version: version})
	return &snapshot, err
}

func versionParameter(c *gin.Context, name string) (mesh.Version, error) {
	text := c.Query(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.BadRequest.Errorf("query parameter %s = %q; allowed is a version number", name, text)
	}
	return mesh.Version(v), nil
}

func fail(c *gin.Context, err error) { port.Refuse(c.Writer, err) }
