// Package fixedseed sets a fixed seed for the property tests that import it, so that their
// results are reproducible. Use go test -rapid.seed=N for another seed.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // Registers the flag.
)

// seed is the seed of all property tests.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Sprintf("fix the seed of property tests: %v", err))
	}
}
