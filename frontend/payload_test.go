package frontend_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against a text payload or a text result that is lost or needs base64,
// and against a request with both payload fields that is accepted.
func TestPayloadText(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(echo))
	body := `{"kind":"preview","cores":1,"memory_mb":1,"payload_text":"für Rex"}`
	request, err := http.NewRequest(http.MethodPost, b.server.URL+"/v1/requests", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer toys-key")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	var document struct {
		Result     []byte `json:"result"`
		ResultText string `json:"result_text"`
	}
	is.NoErr(json.NewDecoder(response.Body).Decode(&document))
	is.Equal(document.ResultText, "echo für Rex")
	is.Equal(string(document.Result), document.ResultText)
	a := b.submit(`{"kind":"preview","cores":1,"memory_mb":1,"payload":"dGFn","payload_text":"tag"}`)
	is.Equal(order.Code(a.Code), order.Malformed)
}
