package drengine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a decoder that accepts a token that is repeated, out of order, cut
// off, without an index or longer than the line limit, and against an error that the
// next call does not return again.
func TestDecoderRejects(t *testing.T) {
	for name, text := range map[string]string{
		"doubled":   `{"index":0,"text":"a"}` + "\n" + `{"index":0,"text":"a"}` + "\n",
		"skipped":   `{"index":0,"text":"a"}` + "\n" + `{"index":2,"text":"a"}` + "\n",
		"cut off":   `{"index":0,"text":"a"}` + "\n" + `{"index":1,"text":"a"}`,
		"ended":     `{"index":0,"text":"a"}` + "\n",
		"long":      `{"index":0,"text":"a"}` + "\n" + `{"index":1,"text":"` + strings.Repeat("a", 5000) + `"}` + "\n",
		"unindexed": `{"index":0,"text":"a"}` + "\n" + `{"text":"a"}` + "\n",
		"last text": `{"index":0,"text":"a"}` + "\n" + `{"done":true,"text":"a"}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			decoder := newTokenDecoder(strings.NewReader(text), 4096, 0)
			_, err := decoder.next()
			is.NoErr(err)
			_, err = decoder.next()
			is.True(err != nil && !errors.Is(err, io.EOF))
			_, repeated := decoder.next()
			is.Equal(repeated, err)
		})
	}
}

// Guards against input that makes the decoder panic or return a token with another
// index than the next one.
func FuzzDecoder(f *testing.F) {
	f.Add(`{"index":3,"text":"a"}`+"\n"+`{"done":true}`+"\n", 3)
	f.Add(strings.Repeat("x", 3000)+"\n", 0)
	f.Add("{\"index\":null}\n", 0)
	f.Fuzz(func(t *testing.T, text string, from int) {
		decoder := newTokenDecoder(strings.NewReader(text), 4096, from)
		for wantIndex := from; ; wantIndex++ {
			token, err := decoder.next()
			if err != nil {
				return
			}
			if token.Index != wantIndex {
				t.Fatalf("index %d, want %d", token.Index, wantIndex)
			}
		}
	})
}
