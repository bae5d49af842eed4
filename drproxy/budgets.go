package drproxy

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drbalancer"
)

// Budgets holds one retry budget per service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.Mutex
	config    drbalancer.BudgetConfig
	byService map[string]*drbalancer.Budget
}

// NewBudgets returns a Budgets whose budgets are all bounded by config. Each is
// created full when Of first asks for it.
func NewBudgets(config drbalancer.BudgetConfig) *Budgets {
	return &Budgets{config: config, byService: make(map[string]*drbalancer.Budget)}
}

// Of returns the budget of a service, creating it at the first call.
func (b *Budgets) Of(service string) *drbalancer.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.byService[service]
	if !ok {
		x = drbalancer.NewBudget(b.config)
		b.byService[service] = x
	}
	return x
}

// Set changes the bounds of all budgets, also of those created later.
func (b *Budgets) Set(config drbalancer.BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	for _, x := range b.byService {
		x.Set(config)
	}
}
