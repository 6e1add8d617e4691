package standin

import (
	"errors"
	"fmt"
)

// errNotRunning is returned when there is no running upstream with the given id.
var errNotRunning = errors.New("is not running")

// engineFault returns the apply function of a fault of one engine.
func (d *Deployment) engineFault(apply func(e *Engine, p *params)) func(p *params) error {
	return func(p *params) error {
		engine := d.Engine(p.id)
		if engine == nil {
			return fmt.Errorf("engine %q: %w", p.id, errNotRunning)
		}
		apply(engine, p)
		return nil
	}
}

// serviceFault returns the apply function of a fault of one plain service.
func (d *Deployment) serviceFault(apply func(s *Service, p *params)) func(p *params) error {
	return func(p *params) error {
		service := d.Service(p.id)
		if service == nil {
			return fmt.Errorf("service %q: %w", p.id, errNotRunning)
		}
		apply(service, p)
		return nil
	}
}

// serverFault returns the apply function of a fault of one upstream's server.
func (d *Deployment) serverFault(apply func(s *Server)) func(p *params) error {
	return func(p *params) error {
		server := d.Server(p.id)
		if server == nil {
			return fmt.Errorf("upstream %q: %w", p.id, errNotRunning)
		}
		apply(server)
		return nil
	}
}

func (d *Deployment) kill(p *params) error {
	if d.Server(p.id) == nil {
		return fmt.Errorf("upstream %q: %w", p.id, errNotRunning)
	}
	d.Kill(p.id)
	return nil
}

func (d *Deployment) upstreamFaults() []fault {
	return []fault{
		{"/upstreams/{id}/kill", "ends the process without notice", d.kill},
		{"/upstreams/{id}/silence", "its open connections go silent for good; new ones work", d.serverFault((*Server).BlackholeConnections)},
		{"/engines/{id}/slow", "?factor=10 makes every step slower; 1 mends it", d.engineFault(func(e *Engine, p *params) {
			if factor := p.decimal("factor"); p.err == nil {
				e.SetSlowdown(factor)
			}
		})},
		{"/engines/{id}/load-lag", "?by=15s is how old its load report is", d.engineFault(func(e *Engine, p *params) {
			if by := p.duration("by", loadLag); p.err == nil {
				e.SetLoadLag(by)
			}
		})},
		{"/engines/{id}/cache-events", "?by=15s&gap=2 makes them late and drops every n-th; gap=0 drops none", d.engineFault(func(e *Engine, p *params) {
			by, gap := p.duration("by", cacheEventLag), p.number("gap")
			if p.err == nil {
				e.SetCacheFaults(by, int(gap))
			}
		})},
		{"/engines/{id}/ignore-fencing", "it obeys orders with an old fencing number", d.engineFault(func(e *Engine, _ *params) {
			e.SetEnforceFencing(false)
		})},
		{"/services/{id}/slow", "?by=2s delays every call", d.serviceFault(func(s *Service, p *params) {
			if by := p.duration("by", 0); p.err == nil {
				s.SetDelay(by)
			}
		})},
		{"/services/{id}/lose", "?n=1 calls take effect and lose their answer", d.serviceFault(func(s *Service, p *params) {
			if n := p.number("n"); p.err == nil {
				s.DropResponses(int(n))
			}
		})},
	}
}
