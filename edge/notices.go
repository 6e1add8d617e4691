package edge

import (
	"github.com/persimmonline/persimmonline/pacing"
	"github.com/persimmonline/persimmonline/routing"
)

// Noticed implements serving.Events.
func (c *control) Noticed(upstream *routing.Upstream, notice pacing.Notice) {
	c.edge.logger.Info().Str("upstream", upstream.ID).Str("born_ms", upstream.Incarnation).Str("address", upstream.Address).
		Bool("limited", notice.Limited).Float64("limit", notice.Rate).Bool("leaving", notice.Leaving).
		Dur("pause_ms", notice.Pause).Msg("upstream's notice")
}
