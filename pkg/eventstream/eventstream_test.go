package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/fescuehub/fescuehub/pkg/eventstream"
)

func TestReaderSplitsEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nweights: 4\nid:2\r\ndata: b\r\n\r\n: comment\n\n"
	for name, r := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text))} {
		events := eventstream.NewReader(r, eventstream.DefaultMaxEventBytes)
		var ids, raw []string
		for {
			e, err := events.Next()
			if err != nil {
				if err != io.EOF {
					t.Error(name, err)
				}
				break
			}
			ids, raw = append(ids, e.ID), append(raw, string(e.Raw))
		}
		if strings.Join(ids, ",") != "1,2," || strings.Join(raw, "") != text {
			t.Errorf("%s: got IDs %q and events %q, want the IDs 1, 2 and none, and the whole text", name, ids, raw)
		}
	}
}

func TestReaderReportsTruncatedEvents(t *testing.T) {
	streamErr := errors.New("reset")
	for text, want := range map[string]error{"": io.EOF, "id: 1\ndata: a\n\n": io.EOF, "id: 1\nda": eventstream.ErrTruncated, "id: 1\n": eventstream.ErrTruncated} {
		events := eventstream.NewReader(strings.NewReader(text), eventstream.DefaultMaxEventBytes)
		var err error
		for err == nil {
			_, err = events.Next()
		}
		if !errors.Is(err, want) {
			t.Errorf("%q ends with %v, want %v", text, err, want)
		}
	}
	events := eventstream.NewReader(io.MultiReader(strings.NewReader("id: 1\nda"), iotest.ErrReader(streamErr)), eventstream.DefaultMaxEventBytes)
	if _, err := events.Next(); !errors.Is(err, streamErr) {
		t.Error(err)
	}
}

// FuzzEvents checks that the concatenated events of any text are a prefix of it.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid")
	f.Fuzz(func(t *testing.T, text string) {
		events := eventstream.NewReader(strings.NewReader(text), eventstream.DefaultMaxEventBytes)
		var all strings.Builder
		for {
			e, err := events.Next()
			if err != nil {
				break
			}
			all.Write(e.Raw)
		}
		if !strings.HasPrefix(text, all.String()) {
			t.Fatalf("the events %q are not a prefix of the text", all.String())
		}
	})
}

// TestLargestEventIsSet guards against sound events that end a stream because of a bound that cannot be raised.
func TestLargestEventIsSet(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 300<<10) + "\n\n"
	for maxBytes, want := range map[int]bool{eventstream.DefaultMaxEventBytes: false, len(text) - 1: false, len(text): true, 1 << 20: true} {
		e, err := eventstream.NewReader(strings.NewReader(text), maxBytes).Next()
		if (err == nil) != want || want && string(e.Raw) != text {
			t.Errorf("an event of %d bytes with a bound of %d: %v, want it whole: %v", len(text), maxBytes, err, want)
		}
		if !want && !strings.Contains(err.Error(), "--max-event-bytes") {
			t.Errorf("%v does not name the setting", err)
		}
	}
}
