package drprocess

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// backgroundLoad is a load of requests that runs while a test injects faults. mu
// guards the counts of complete answers and refusals.
type backgroundLoad struct {
	done      chan struct{}
	running   sync.WaitGroup
	mu        sync.Mutex
	completed int
	refused   map[string]int // by type of problem
}

// loadStartTimeout is how long a test waits for the background load: for the load of a model, and
// for its first answer.
const loadStartTimeout = 8 * time.Second

// startLoad starts a few callers, each of which sends one request after the other to
// a random model through a random VM. It fails the test if a request ends with
// neither its complete answer nor a refusal before its deadline (I3, I8).
func (c *cluster) startLoad(t *testing.T, account string, models []string, vms []*vm) *backgroundLoad {
	const callers, pause = 8, 20 * time.Millisecond
	l := &backgroundLoad{done: make(chan struct{}), refused: map[string]int{}}
	for i := range callers {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		l.running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.done:
					return
				case <-time.After(pause):
				}
				q := completionRequest{
					key: demoKey(account), model: models[random.IntN(len(models))], prompt: uniquePrompt(t, i*100_000+n),
					tokens: 1 + random.IntN(20), stream: n%2 == 0, timeout: 8 * time.Second,
				}
				a := c.requestCompletion(vms[random.IntN(len(vms))], q)
				if err := c.checkSettled(q, a); err != nil {
					t.Errorf("I3, I8: %v", err)
				}
				l.count(a)
			}
		})
	}
	t.Cleanup(l.stop)
	return l
}

func (l *backgroundLoad) count(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.problem == nil {
		l.completed++
	} else {
		l.refused[a.problem.Type]++
	}
}

// awaitServed waits until a request of the load was served.
func (l *backgroundLoad) awaitServed(t *testing.T) {
	t.Helper()
	served := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.completed > 0
	}
	for end := time.Now().Add(loadStartTimeout); !served(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no request of the background load was served within %s", loadStartTimeout)
		}
	}
}

func (l *backgroundLoad) stop() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	l.running.Wait()
}

// report stops the load and logs its counts. It fails the test if no request was
// served, since the load then checked nothing.
func (l *backgroundLoad) report(t *testing.T) {
	t.Helper()
	l.stop()
	t.Logf("%d complete answers, refusals: %v", l.completed, l.refused)
	if l.completed == 0 {
		t.Error("no request of the background load was served")
	}
}
