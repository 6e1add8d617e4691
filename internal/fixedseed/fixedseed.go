// Package fixedseed gives the property tests that import it a fixed seed, so that
// their verdict is the same every time. Another seed: go test -rapid.seed=N.
package fixedseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // It registers the flag.
)

// seed of all property tests.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(fmt.Sprintf("fix the seed of property tests: %v", err))
	}
}
