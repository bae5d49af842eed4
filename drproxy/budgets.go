package drproxy

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drbalancer"
)

// Budgets are the retry budgets of all services.
type Budgets struct {
	mu        sync.Mutex
	config    drbalancer.BudgetConfig
	byService map[string]*drbalancer.Budget
}

// NewBudgets returns budgets that start with c.
func NewBudgets(config drbalancer.BudgetConfig) *Budgets {
	return &Budgets{config: config, byService: make(map[string]*drbalancer.Budget)}
}

// Of returns the budget of a service.
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

// Set changes the bounds of all budgets.
func (b *Budgets) Set(config drbalancer.BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	for _, x := range b.byService {
		x.Set(config)
	}
}
