package harness_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb, in KiB.
	memoryLimit = 206 << 10
	// uploadBytes is the size of each body, below max_body_bytes.
	uploadBytes = 4_000_000
	// uploads is the number of bodies in one wave.
	uploads = 80
	// waves is how often the clients come. The rule is broken if processes of two VMs
	// end in each.
	waves = 3
	// uplinkPause is how long a client's uplink stalls before the end of its body.
	uplinkPause = time.Second
	// memoryCheck is how often the platform looks at the memory of the processes.
	memoryCheck = 20 * time.Millisecond
)

// chunkedCase checks that no process exceeds its memory. The disruption lets many
// clients come at once, each with a body in chunks that stays below max_body_bytes;
// without it the same clients come one after the other. The stand-in of the platform
// kills a process that exceeds memory_mb and starts it again.
func chunkedCase(f *fleet, trouble bool) error {
	f.putConfig(1, key)
	startRunner(f.store, f.log, "i-app", "app")
	if err := f.start("vm-1", "vm-2", "vm-3"); err != nil {
		return err
	}
	stop := make(chan struct{})
	kills := make([]int, len(f.vms))
	highest := make([]int, len(f.vms))
	var platform sync.WaitGroup
	for i, v := range f.vms {
		platform.Go(func() { f.watchMemory(v, stop, &kills[i], &highest[i]) })
	}
	for wave := range waves {
		f.log.printf("wave %d: %d clients at each of 2 VMs, together: %t", wave+1, uploads, trouble)
		var clients sync.WaitGroup
		for _, v := range f.vms[:2] {
			for i := range uploads {
				upload := func() { f.log.printf("%s: %s", v.name, uploadChunks(v.callers, trouble)) }
				if trouble {
					clients.Go(upload)
				} else if i%4 == 0 {
					upload()
				}
			}
		}
		clients.Wait()
		time.Sleep(500 * time.Millisecond)
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	close(stop)
	platform.Wait()
	often := 0
	for i, v := range f.vms {
		f.log.printf("%s: at most %d MiB, killed %d times because of its memory", v.name, highest[i]>>10, kills[i])
		if kills[i] >= waves {
			often++
		}
	}
	if often >= 2 {
		return fmt.Errorf("%w: Fault: processes of %d VMs ended %d times because of their memory", errBroken, often, waves)
	}
	return nil
}

// uploadChunks sends a request with a body in chunks and reads the answer.
func uploadChunks(address string, pause bool) result {
	id := newID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{id: id, err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	c := call{method: "POST", path: "/buy/2f", deadline: 3 * time.Second}
	w := bufio.NewWriterSize(conn, 64<<10)
	_, _ = io.WriteString(w, c.head(id)+"Transfer-Encoding: chunked\r\n\r\n")
	chunk := strings.Repeat("x", 40_000)
	for sent := 0; sent < uploadBytes; sent += len(chunk) {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return result{id: id, err: err}
		}
	}
	if err := w.Flush(); err != nil {
		return result{id: id, err: err}
	}
	if pause {
		time.Sleep(uplinkPause)
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return result{id: id, err: err}
	}
	return readAnswer(id, bufio.NewReader(conn))
}

// watchMemory does what the platform does with a process that exceeds its memory, until
// stop is closed.
func (f *fleet) watchMemory(v *vm, stop <-chan struct{}, kills, highest *int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheck):
		}
		memory := v.memory()
		*highest = max(*highest, memory)
		if memory <= memoryLimit {
			continue
		}
		*kills++
		f.log.printf("the process of %s has %d MiB: the platform kills it and starts it again", v.name, memory>>10)
		v.kill()
		time.Sleep(200 * time.Millisecond)
		if err := v.start(); err != nil {
			f.log.printf("%s does not start: %v", v.name, err)
			return
		}
	}
}

// memory returns the anonymous memory of the process in KiB, 0 if it is not known.
func (v *vm) memory() int {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
