package httpclient_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
)

// TestDocumentResetDuringUploadIsNotWhole guards against a document that is used although the server reset the connection
// that is to mark its end.
func TestDocumentResetDuringUploadIsNotWhole(t *testing.T) {
	const calls = 24
	server, err := rawserver.Start(func(*http.Request) rawserver.Answer {
		// Further digits may be missing.
		return rawserver.Answer{Text: "HTTP/1.1 200 X\r\n\r\n12", Pause: 20 * time.Millisecond, End: rawserver.Reset}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := httpclient.New()
	for n := range calls {
		var number int
		err := httpclient.Post(context.Background(), client, "http://"+server.Address(), strings.Repeat("u", 4<<20), 1<<20, &number)
		if err == nil {
			t.Errorf("call %d: a number %d that is possibly cut was taken for whole", n, number)
		}
	}
}
