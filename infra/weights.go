package infra

import (
	"context"

	"github.com/persimmonline/persimmonline/api"
)

// Weights is the platform's rate-limited weight store. Engines read weights from it;
// nodes only read the sizes of the models and the store's rate.
type Weights interface {
	// List returns the models in the store and the store's rate.
	List(ctx context.Context) (api.WeightList, error)
}
