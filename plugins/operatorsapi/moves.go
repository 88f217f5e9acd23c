package operatorsapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"teaselring/kernel"
	"teaselring/mesh"
	"teaselring/operator"
	"teaselring/port"
	"teaselring/result"
)

func (a *api) startMove(c *gin.Context) {
	var body operator.StartMoveRequest
	if err := c.ShouldBindJSON(&body); err != nil {
		a.refuse(c, "move", "", result.BadRequest.Errorf("body: %v", err), false)
		return
	}
	if a.in.Starts == nil {
		fail(c, result.BadRequest.Errorf("this node has no plug-in for moves"))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	move, err := kernel.Do(ctx, a.in.Starts, port.StartMove{Move: mesh.Move{
		ID: body.ID, Service: body.Service, Old: body.Old, New: body.New, Target: body.Target,
		Routes: body.Routes, By: port.OperatorName(c),
	}})
	if err != nil {
		a.refuse(c, "move", string(body.ID), err, false)
		return
	}
	c.JSON(http.StatusOK, move)
}

func (a *api) takeBack(c *gin.Context) {
	if a.in.TakeBacks == nil {
		fail(c, result.BadRequest.Errorf("this node has no plug-in for moves"))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	id := mesh.MoveID(c.Param("id"))
	var body operator.TakeBackRequest
	if err := c.ShouldBindJSON(&body); err != nil && !errors.Is(err, io.EOF) {
		fail(c, result.BadRequest.Errorf("body: %v", err))
		return
	}
	move, err := kernel.Do(ctx, a.in.TakeBacks, port.TakeBack{Move: id, By: port.OperatorName(c), Why: body.Why})
	if err != nil {
		a.refuse(c, "take back", string(id), err, false)
		return
	}
	c.JSON(http.StatusOK, move)
}

func (a *api) knownMoves() []mesh.Move {
	if a.in.Moves == nil || a.in.Moves.Load() == nil {
		return []mesh.Move{}
	}
	return a.in.Moves.Load().Moves
}

func (a *api) listMoves(c *gin.Context) {
	c.JSON(http.StatusOK, operator.MovesResponse{Moves: a.knownMoves()})
}

func (a *api) getMove(c *gin.Context) {
	for _, m := range a.knownMoves() {
		if m.ID == mesh.MoveID(c.Param("id")) {
			c.JSON(http.StatusOK, m)
			return
		}
	}
	fail(c, result.MoveNotFound.Errorf("move %q is not known to this node", c.Param("id")))
}

// maxAuditPage is the maximum number of entries in one response, and the default.
const maxAuditPage = 200

// audit reads one stream of the audit trail. Query parameters: stream,
// after, limit.
func (a *api) audit(c *gin.Context) {
	if a.in.Audit == nil {
		fail(c, result.BadRequest.Errorf("this node has no plug-in for the audit trail"))
		return
	}
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		fail(c, result.BadRequest.Errorf("query parameter after = %q; allowed is a sequence number", c.Query("after")))
		return
	}
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(maxAuditPage)))
	if err != nil || limit < 1 {
		fail(c, result.BadRequest.Errorf("query parameter limit = %q; allowed is a positive number", c.Query("limit")))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), requestTimeout)
	defer cancel()
	page, err := a.in.Audit.Read(ctx, c.DefaultQuery("stream", port.ConfigStream), after, min(limit, maxAuditPage))
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, page)
}
