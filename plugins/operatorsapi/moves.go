package operatorsapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/port"
	"teaselring/result"
)

// moveRequest is the body of POST /v1/moves.
type moveRequest struct {
	ID      mesh.MoveID          `json:"id"`
	Service mesh.ServiceID       `json:"service"`
	Old     mesh.UpstreamVersion `json:"old"`
	New     mesh.UpstreamVersion `json:"new"`
	Target  time.Time            `json:"target"`
	Routes  []mesh.RouteID       `json:"routes"`
}

func (a *api) startMove(c *gin.Context) {
	var body moveRequest
	if err := c.ShouldBindJSON(&body); err != nil {
		a.refused(c, "move", "", result.BadRequest.Errorf("body: %v", err), false)
		return
	}
	if a.Starts == nil {
		fail(c, result.BadRequest.Errorf("this node has no plug-in for moves"))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	move, err := kernel.Do(ctx, a.Starts, port.StartMove{Move: mesh.Move{
		ID: body.ID, Service: body.Service, Old: body.Old, New: body.New, Target: body.Target,
		Routes: body.Routes, By: port.OperatorName(c),
	}})
	if err != nil {
		a.refused(c, "move", string(body.ID), err, false)
		return
	}
	c.JSON(http.StatusOK, move)
}

func (a *api) takeBack(c *gin.Context) {
	if a.TakeBacks == nil {
		fail(c, result.BadRequest.Errorf("this node has no plug-in for moves"))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	id := mesh.MoveID(c.Param("id"))
	move, err := kernel.Do(ctx, a.TakeBacks, port.TakeBack{Move: id, By: port.OperatorName(c), Why: c.Query("why")})
	if err != nil {
		a.refused(c, "take back", string(id), err, false)
		return
	}
	c.JSON(http.StatusOK, move)
}

func (a *api) knownMoves() []mesh.Move {
	if a.Moves == nil || a.Moves.Load() == nil {
		return []mesh.Move{}
	}
	return a.Moves.Load().Moves
}

func (a *api) listMoves(c *gin.Context) { c.JSON(http.StatusOK, gin.H{"moves": a.knownMoves()}) }

func (a *api) move(c *gin.Context) {
	for _, m := range a.knownMoves() {
		if m.ID == mesh.MoveID(c.Param("id")) {
			c.JSON(http.StatusOK, m)
			return
		}
	}
	fail(c, result.MoveNotFound.Errorf("move %q is not known to this node", c.Param("id")))
}

// auditPageSize is the number of entries in one answer.
const auditPageSize = 200

// audit reads one stream of the audit trail. Query parameters: stream, after.
func (a *api) audit(c *gin.Context) {
	if a.Audit == nil {
		fail(c, result.BadRequest.Errorf("this node has no plug-in for the audit trail"))
		return
	}
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		fail(c, result.BadRequest.Errorf("query parameter after = %q; allowed is a sequence number", c.Query("after")))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	page, err := a.Audit.Read(ctx, c.DefaultQuery("stream", "config"), after, auditPageSize)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, page)
}
