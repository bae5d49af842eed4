package drcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/dotterelridge/dotterelridge/dredge"
	"github.com/dotterelridge/dotterelridge/drproxy"
)

// explainTimeout limits the call to the entry VM.
const explainTimeout = 5 * time.Second

// runExplain asks an entry VM on the users' platform where a request would go now. The
// request is not sent.
func runExplain(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "explain", "FILE")
	address := fs.String("address", "127.0.0.1:9464", "listener for metrics of the entry VM")
	asJSON := fs.Bool("json", false, "print JSON")
	if err := parse(fs, args, 1, 1); err != nil {
		return err
	}
	header, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		return fmt.Errorf("read the header of the request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	e, err := fetchExplanation(ctx, *address, withCRLF(header))
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(env.stdout).Encode(e)
	}
	return writeExplanation(env.stdout, e)
}

// withCRLF ends the lines of a request's header as HTTP wants, and the header with an
// empty line.
func withCRLF(header []byte) []byte {
	lines := bytes.Split(bytes.TrimSpace(bytes.ReplaceAll(header, []byte("\r\n"), []byte("\n"))), []byte("\n"))
	return append(bytes.Join(lines, []byte("\r\n")), "\r\n\r\n"...)
}

func fetchExplanation(ctx context.Context, address string, header []byte) (drproxy.Explanation, error) {
	var e drproxy.Explanation
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+dredge.ExplainPath, bytes.NewReader(header))
	if err != nil {
		return e, fmt.Errorf("ask %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return e, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return e, fmt.Errorf("ask %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return e, fmt.Errorf("ask %s: %s: %s", address, response.Status, body)
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return e, fmt.Errorf("ask %s: %w", address, err)
	}
	return e, nil
}

// writeExplanation writes an explanation as a table of candidates and a table of the
// runners that take no request now.
func writeExplanation(out io.Writer, e drproxy.Explanation) error {
	fmt.Fprintf(out, "route %q, service %q, account %q\n", e.Route, e.Service, e.Account)
	if e.Refusal != "" {
		fmt.Fprintln(out, "refused or waiting:", e.Refusal)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RUNNER\tZONE\tPROBABILITY\tDELAY\tWAIT\tWAY\tFAILURE\tAPART\tSAVED\tKEPT TOKENS\tLOAD\tUNREAD TOKENS")
	for _, c := range e.Candidates {
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%d\t%d\t%d\n", c.Runner, c.Zone, c.Probability,
			c.DelayMS, c.WaitMS, c.ZoneMS, c.FailureMS, c.ApartMS, c.SavedMS, c.KeptTokens, c.Load, c.UnreadTokens)
	}
	for _, x := range e.Excluded {
		fmt.Fprintf(w, "%s\t%s\t-\t%s\t%.0f ms\n", x.Runner, x.Zone, x.Why, x.PauseMS)
	}
	return w.Flush()
}
