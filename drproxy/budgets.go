package drproxy

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drbalancer"
)

// Budgets are the retry budgets of all services.
type Budgets struct {
	mu     sync.Mutex
	config drbalancer.BudgetConfig
	by     map[string]*drbalancer.Budget
}

// NewBudgets returns budgets that start with c.
func NewBudgets(c drbalancer.BudgetConfig) *Budgets {
	return &Budgets{config: c, by: make(map[string]*drbalancer.Budget)}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *drbalancer.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.by[service]
	if !ok {
		x = drbalancer.NewBudget(b.config)
		b.by[service] = x
	}
	return x
}

// Set changes the bounds of all budgets.
func (b *Budgets) Set(c drbalancer.BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	for _, x := range b.by {
		x.Set(c)
	}
}
