package drrouter

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// Guards against a router that names prompt blocks otherwise than the engines'
// cache events do, so that it never sees a cached prefix.
func TestBlocksAreNamedAsByEngines(t *testing.T) {
	is := is.New(t)
	prompt := strings.Repeat("abc", drengine.PrefixBlock)
	is.True(slices.Equal(promptBlocks(prompt), drengine.PrefixBlocks(prompt)))
	long := strings.Repeat("x", (maxPromptBlocks+5)*drengine.PrefixBlock)
	is.True(slices.Equal(promptBlocks(long), drengine.PrefixBlocks(long)[:maxPromptBlocks]))
}
