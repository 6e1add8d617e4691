package routing

// Load: a rollout, in which a part of a service's upstreams may get only a share of its requests.

// Generation is the side of an upstream in a rollout.
type Generation int

// Generations. An upstream without one is used by requests of any.
const (
	AnyGeneration Generation = iota
	OldGeneration
	NewGeneration
)

// includes reports whether a request restricted to a generation may run at a candidate.
func (g Generation) includes(candidate *Upstream) bool {
	return g.Includes(candidate.Generation)
}

// Includes reports whether a request restricted to a generation may run at an upstream of another.
func (g Generation) Includes(other Generation) bool {
	return g == AnyGeneration || other == AnyGeneration || other == g
}

// mayCopyFrom reports whether a request restricted to a generation may use a copy of an engine's cache:
// what a new version on trial has written does not spread to the old one.
func (g Generation) mayCopyFrom(source *Upstream) bool {
	return g != OldGeneration || source.Generation != NewGeneration
}

type generationKey struct {
	service    string
	generation Generation
}

// indexGenerations splits the lists of services in a rollout, so that samples are drawn from one
// generation.
func (f *Fleet) indexGenerations() {
	for service, upstreams := range f.ByService {
		for _, upstream := range upstreams {
			if upstream.Generation == AnyGeneration {
				continue
			}
			if f.byGeneration == nil {
				f.byGeneration = map[generationKey][]*Upstream{}
			}
			key := generationKey{service, upstream.Generation}
			f.byGeneration[key] = append(f.byGeneration[key], upstream)
		}
	}
}

// candidates returns the upstreams among which a request's is chosen.
func (f *Fleet) candidates(request *Request) []*Upstream {
	if request.Generation != AnyGeneration && f.byGeneration != nil {
		if split, known := f.byGeneration[generationKey{request.Service, request.Generation}]; known {
			return split
		}
	}
	return f.ByService[request.Service]
}

// Has reports whether a service has an upstream of a generation.
func (f *Fleet) Has(service string, generation Generation) bool {
	return len(f.byGeneration[generationKey{service, generation}]) > 0
}
