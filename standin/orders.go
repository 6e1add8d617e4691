package standin

import (
	"net/http"
	"slices"

	"github.com/persimmonline/persimmonline/api"
)

// maxOrders bounds the orders whose results an engine retains.
const maxOrders = 1024

// orderHistory holds the results of the last orders by id.
type orderHistory struct {
	results map[string]api.OrderResult
	order   []string
}

func newOrderHistory() orderHistory { return orderHistory{results: map[string]api.OrderResult{}} }

func (h *orderHistory) record(result api.OrderResult) {
	if _, known := h.results[result.ID]; !known {
		h.order = append(h.order, result.ID)
	}
	h.results[result.ID] = result
	if len(h.order) > maxOrders {
		delete(h.results, h.order[0])
		h.order = h.order[1:]
	}
}

// remove removes a failed order, so that it can be repeated.
func (h *orderHistory) remove(id string) {
	delete(h.results, id)
	h.order = slices.DeleteFunc(h.order, func(known string) bool { return known == id })
}

// receiveOrder handles an order. A load lasts as long as the transfer from the weight store.
func (e *Engine) receiveOrder(w http.ResponseWriter, r *http.Request) {
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
		go e.fetchThenApply(order)
	} else {
		e.applyOrder(order)
	}
	e.orders.record(result)
	writeJSON(w, http.StatusOK, result)
}

// fetchThenApply fetches the weights for a load order, then applies it.
func (e *Engine) fetchThenApply(order api.EngineOrder) {
	err := e.config.Fetch(e.lifetime, order.Model, order.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.orders.remove(order.ID)
		return
	}
	e.applyOrder(order)
	e.orders.record(api.OrderResult{ID: order.ID, State: api.OrderResultStateDone})
}

// isLoaded reports whether the model and adapter of a load order are loaded.
func (e *Engine) isLoaded(order api.EngineOrder) bool {
	return slices.ContainsFunc(e.models, func(m api.LoadedModel) bool {
		if m.Name != order.Model || m.Version != order.Version {
			return false
		}
		return order.Adapter == "" || slices.Contains(m.Adapters, order.Adapter)
	})
}

// applyOrder changes the models or the role of the engine.
func (e *Engine) applyOrder(order api.EngineOrder) {
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
