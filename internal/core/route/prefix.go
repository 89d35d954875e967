package route

import "github.com/cespare/xxhash/v2"

// prefixLengths are the lengths in bytes of the prompt prefixes that are indexed, longest first.
// Engines cache blocks of tokens; a few lengths at a factor of four find most of the shared prefix
// of two prompts at a fixed cost.
var prefixLengths = [...]int{32768, 8192, 2048, 512}

// Prefixes appends the hashes of the prompt's prefixes to into, longest first, and returns the
// extended slice. Prompts shorter than 512 bytes have none. scope separates models and adapters,
// which do not share cache entries.
func Prefixes(into []uint64, scope, prompt string) []uint64 {
	seed := xxhash.Sum64String(scope)
	for _, num := range prefixLengths {
		if len(prompt) >= num {
			into = append(into, xxhash.Sum64String(prompt[:num])^seed)
		}
	}
	return into
}
