package drforward

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drpick"
)

// Budgets are the retry budgets of all services.
type Budgets struct {
	mu     sync.Mutex
	config drpick.BudgetConfig
	by     map[string]*drpick.Budget
}

// NewBudgets returns budgets that start with c.
func NewBudgets(c drpick.BudgetConfig) *Budgets {
	return &Budgets{config: c, by: make(map[string]*drpick.Budget)}
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *drpick.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	x, ok := b.by[service]
	if !ok {
		x = drpick.NewBudget(b.config)
		b.by[service] = x
	}
	return x
}

// Set changes the bounds of all budgets.
func (b *Budgets) Set(c drpick.BudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	for _, x := range b.by {
		x.Set(c)
	}
}
