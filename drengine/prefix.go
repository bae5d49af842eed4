package drengine

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the number of prompt bytes that one cached block covers.
const PrefixBlock = 256

// PrefixBlocks returns the hash of each prefix of prompt that ends at a whole
// block, as cache events name them. Each hash covers all bytes before it, so
// two prompts share a block only if they share everything up to it.
func PrefixBlocks(prompt string) []uint64 {
	blocks := len(prompt) / PrefixBlock
	hashes := make([]uint64, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes[i] = digest.Sum64()
	}
	return hashes
}
