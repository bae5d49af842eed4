package drrouter

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// Guards against a router that hashes prompt blocks differently from the cache
// events of engines, and so never finds a cached prefix.
func TestBlocksAreNamedAsByEngines(t *testing.T) {
	is := is.New(t)
	prompt := strings.Repeat("abc", drengine.PrefixBlock)
	is.True(slices.Equal(promptBlocks(prompt), drengine.PrefixBlocks(prompt)))
	long := strings.Repeat("x", (maxPromptBlocks+5)*drengine.PrefixBlock)
	is.True(slices.Equal(promptBlocks(long), drengine.PrefixBlocks(long)[:maxPromptBlocks]))
}
