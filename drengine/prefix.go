package drengine

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the number of prompt bytes that one cached block covers.
const PrefixBlock = 256

// PrefixBlocks returns the hash of each prefix of prompt that ends at a whole
// block, as cache events name them. Each hash covers all bytes before it, so
// two prompts share a block only if they share everything up to it.
func PrefixBlocks(prompt string) []uint64 {
	n := len(prompt) / PrefixBlock
	hs := make([]uint64, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hs[i] = d.Sum64()
	}
	return hs
}
