package port

import (
	"encoding/json"
	"net/http"
	"strconv"

	"teaselring/result"
)

// CodeHeader carries the result code number of every refusal.
const CodeHeader = "Teasel-Code"

// Refusal is the body of every refusal, in JSON.
type Refusal struct {
	Code    int               `json:"code"`
	Name    string            `json:"name"`
	Ran     string            `json:"ran"`
	Retry   string            `json:"retry"`
	Message string            `json:"message"`
	Details map[string]string `json:"details,omitempty"`
}

// Refuse answers a request with the result code that err carries.
func Refuse(w http.ResponseWriter, err error) {
	e := result.From(err)
	body, _ := json.Marshal(Refusal{
		Code: e.Code.Number, Name: e.Code.Name, Ran: e.Code.Ran.String(),
		Retry: e.Code.Retry.String(), Message: e.Message, Details: e.Details,
	})
	w.Header().Set(CodeHeader, strconv.Itoa(e.Code.Number))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.Status)
	_, _ = w.Write(body)
}
