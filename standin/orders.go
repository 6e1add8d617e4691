package standin

import (
	"net/http"
	"slices"

	"github.com/persimmonline/persimmonline/api"
)

// maxOrders bounds the orders that an engine remembers.
const maxOrders = 1024

// orderBook remembers what became of the last orders, by id.
type orderBook struct {
	results map[string]api.OrderResult
	order   []string
}

func newOrderBook() orderBook { return orderBook{results: map[string]api.OrderResult{}} }

func (b *orderBook) put(result api.OrderResult) {
	if _, known := b.results[result.ID]; !known {
		b.order = append(b.order, result.ID)
	}
	b.results[result.ID] = result
	if len(b.order) > maxOrders {
		delete(b.results, b.order[0])
		b.order = b.order[1:]
	}
}

// forget makes an order new again, after it failed.
func (b *orderBook) forget(id string) {
	delete(b.results, id)
	b.order = slices.DeleteFunc(b.order, func(known string) bool { return known == id })
}

// order takes an order. A load takes as long as the weight store needs.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order api.EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if result, seen := e.orders.results[order.ID]; seen {
		writeJSON(w, http.StatusOK, result)
		return
	}
	if e.config.EnforceFencing && order.Fence < e.fence {
		writeJSON(w, http.StatusConflict, api.OrderResult{ID: order.ID, State: api.OrderResultStateRefused, Reason: "old fencing number"})
		return
	}
	e.fence = max(e.fence, order.Fence)
	result := api.OrderResult{ID: order.ID, State: api.OrderResultStateDone}
	if order.Kind == api.EngineOrderKindLoad && e.config.Fetch != nil && !e.isLoaded(order) {
		result.State = api.OrderResultStateRunning
		go e.fetchThenObey(order)
	} else {
		e.obey(order)
	}
	e.orders.put(result)
	writeJSON(w, http.StatusOK, result)
}

// fetchThenObey fetches the weights of one load order, then obeys it.
func (e *Engine) fetchThenObey(order api.EngineOrder) {
	err := e.config.Fetch(e.life, order.Model, order.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.orders.forget(order.ID)
		return
	}
	e.obey(order)
	e.orders.put(api.OrderResult{ID: order.ID, State: api.OrderResultStateDone})
}

// isLoaded says whether the engine has what a load order asks for.
func (e *Engine) isLoaded(order api.EngineOrder) bool {
	return slices.ContainsFunc(e.models, func(m api.LoadedModel) bool {
		if m.Name != order.Model || m.Version != order.Version {
			return false
		}
		return order.Adapter == "" || slices.Contains(m.Adapters, order.Adapter)
	})
}

// obey changes what the engine serves.
func (e *Engine) obey(order api.EngineOrder) {
	named := func(m api.LoadedModel) bool { return m.Name == order.Model }
	switch order.Kind {
	case api.EngineOrderKindLoad:
		adapters := e.adaptersAfter(order)
		e.models = slices.DeleteFunc(e.models, named)
		e.models = append(e.models, api.LoadedModel{Name: order.Model, Version: order.Version, Adapters: adapters})
	case api.EngineOrderKindUnload:
		e.models = slices.DeleteFunc(e.models, named)
	case api.EngineOrderKindRole:
		e.role = api.EngineLoadRole(order.Role)
	}
}

// adaptersAfter returns the adapters of a model after a load order.
func (e *Engine) adaptersAfter(order api.EngineOrder) []string {
	var adapters []string
	for _, model := range e.models {
		if model.Name == order.Model && model.Version == order.Version {
			adapters = slices.Clone(model.Adapters)
		}
	}
	if order.Adapter != "" && !slices.Contains(adapters, order.Adapter) {
		adapters = append(adapters, order.Adapter)
	}
	return adapters
}
