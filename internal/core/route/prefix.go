package route

import "github.com/cespare/xxhash/v2"

// prefixBytes are the lengths of prompt beginnings that are remembered.
// Engines cache by blocks of tokens; a few lengths, fourfold each, find most
// of what two prompts share at a fixed cost.
var prefixBytes = [...]int{32768, 8192, 2048, 512}

// Prefixes appends to into the hashes of the prompt's beginnings, the longest
// first. scope separates models and adapters, whose caches are not shared.
func Prefixes(into []uint64, scope, prompt string) []uint64 {
	seed := xxhash.Sum64String(scope)
	for _, num := range prefixBytes {
		if len(prompt) >= num {
			into = append(into, xxhash.Sum64String(prompt[:num])^seed)
		}
	}
	return into
}
