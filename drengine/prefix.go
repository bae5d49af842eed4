package drengine

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the size of a prompt block in bytes.
const PrefixBlock = 256

// PrefixBlocks returns the hashes of the whole blocks of a prompt, as cache events
// name them. Each hash covers the prompt up to the end of its block, so two prompts
// share a block only if they are equal up to there.
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
