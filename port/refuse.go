package port

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"teaselring/result"
)

// CodeHeader is the header with the result code number of a refusal.
const CodeHeader = "Teasel-Code"

// maxRefusalBytes bounds the body of a refusal that is read; its code is in the header.
const maxRefusalBytes = 64 << 10

// Refusal is the JSON body of a refusal.
type Refusal struct {
	Code    int               `json:"code"`
	Name    string            `json:"name"`
	Ran     string            `json:"ran"`
	Retry   string            `json:"retry"`
	Message string            `json:"message"`
	Details map[string]string `json:"details,omitempty"`
}

// WriteRefusal sets the headers of a refusal and returns its body.
func WriteRefusal(h http.Header, e *result.Error) []byte {
	body, _ := json.Marshal(Refusal{
		Code: e.Code.Number, Name: e.Code.Name, Ran: e.Code.Ran.String(),
		Retry: e.Code.Retry.String(), Message: e.Message, Details: e.Details,
	})
	h.Set(CodeHeader, strconv.Itoa(e.Code.Number))
	h.Set("Content-Type", "application/json")
	return body
}

// Refuse responds to a request with the result code that err carries.
func Refuse(w http.ResponseWriter, err error) {
	e := result.AsError(err)
	body := WriteRefusal(w.Header(), e)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Code.Status)
	_, _ = w.Write(body)
}

// ReadRefusal converts another node's refusal to an error. Its code comes from the
// header, even when the body can't be read.
func ReadRefusal(response *http.Response) *result.Error {
	number, err := strconv.Atoi(response.Header.Get(CodeHeader))
	if err != nil {
		return result.Internal.Errorf("status %d with result code %q", response.StatusCode, response.Header.Get(CodeHeader))
	}
	var refusal Refusal
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&refusal); err != nil {
		return result.ByNumber(number).Err()
	}
	return &result.Error{Code: result.ByNumber(number), Message: refusal.Message, Details: refusal.Details}
}
