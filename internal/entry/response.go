package entry

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/engine/openai"
	"knapweedplank.org/plank/pkg/notes"
)

// This file defines how responses and refusals are written.

// httpStatuses maps the codes of refusals to HTTP status codes.
var httpStatuses = map[plank.Code]int{
	plank.CodeBadRequest:       http.StatusBadRequest,
	plank.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	plank.CodeBadKey:           http.StatusUnauthorized,
	plank.CodeKeyWithdrawn:     http.StatusUnauthorized,
	plank.CodeNotAllowed:       http.StatusForbidden,
	plank.CodeNoModel:          http.StatusNotFound,
	plank.CodeNoRoute:          http.StatusNotFound,
	plank.CodeRateLimited:      http.StatusTooManyRequests,
	plank.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	plank.CodeInProgress:       http.StatusConflict,
	plank.CodeKeyReused:        http.StatusUnprocessableEntity,
	plank.CodeOutcomeUnknown:   http.StatusConflict,
	plank.CodeQuarantined:      http.StatusUnprocessableEntity,
	plank.CodeEndpoint:         http.StatusBadGateway,
}

// httpStatus returns the HTTP status code of a refusal.
func httpStatus(code plank.Code) int {
	if st, ok := httpStatuses[code]; ok {
		return st
	}
	return http.StatusServiceUnavailable
}

// errorType returns the error type that the OpenAI API defines for an HTTP
// status code.
func errorType(st int) string {
	switch {
	case st == http.StatusUnauthorized:
		return "authentication_error"
	case st == http.StatusTooManyRequests:
		return "rate_limit_error"
	case st >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// asRefusal returns the refusal that err wraps, or else one with the code
// CodeEndpoint.
func asRefusal(err error) *plank.RefusalError {
	var refused *plank.RefusalError
	if errors.As(err, &refused) {
		return refused
	}
	return &plank.RefusalError{Code: plank.CodeEndpoint, Ran: plank.Unknown, Detail: err.Error()}
}

func errorBody(e *plank.RefusalError) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorInfo{Message: e.Detail, Type: errorType(httpStatus(e.Code)), Code: e.Code, Ran: e.Ran}}
}

// refuse reports the failure of a request. If a part of the response was
// written, the error is an event of the stream; otherwise it is the response.
func (s *Server) refuse(w http.ResponseWriter, c *call, err error) {
	e := asRefusal(err)
	s.refusals.Mark(1)
	c.log.WithFields(logrus.Fields{"code": e.Code, "ran": e.Ran, "detail": e.Detail}).Info("entry: refused")
	if c.responseStarted {
		data, err := json.Marshal(errorBody(e))
		if err == nil {
			fmt.Fprintf(w, "data: %s\n\n", data)
		}
		// The stream has no final event, so clients detect that the response is
		// incomplete.
		return
	}
	w.Header().Set("X-Request-Id", string(c.id))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	writeJSON(w, httpStatus(e.Code), errorBody(e))
}

func writeJSON(w http.ResponseWriter, st int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(st)
	// A failed write means that the connection is closed, so that the error
	// cannot be reported to the caller.
	_ = json.NewEncoder(w).Encode(v)
}

// A modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models that the workspace may use, sorted by ID.
func listModels(catalog *notes.Catalog, ws plank.WorkspaceID) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, a := range catalog.Adapters {
		if a.Workspace == "" || a.Workspace == ws {
			list.Data = append(list.Data, modelItem{ID: a.Name(), Object: "model", OwnedBy: string(a.Workspace)})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
