package drcapacity

const pageText = `# Capacity of the product's own interface

Written by ` + "`scripts/capacity`" + ` from docs/capacity.json; do not edit. Measured at revision {{.Revision}} with {{.GoVersion}}
on a shared machine of {{.Cores}} cores (load average {{.Load}} at the end of a run). Units of work are medians of {{.Repeats}}
repetitions of at least 20 ms of processor time; fleets run for three windows of 3 s after 6 s.
Fleets were measured in several runs at earlier revisions of the same day, partly two at a time. Lines are fitted by
ordinary least squares; ± is the standard error of the line at the target size. Noise is the widest distance between
repetitions of one size, relative to their median. Values beyond the largest measured size are extrapolated.

## Target
Section 1.7 of [design.md](design.md): 410 entry VMs, 3,700 runners, 240 models, 3,100 adapters, 31,000 requests/s,
8.7 M tokens/s, 20,000 changes a day, 49 % of models and adapters active or idle per hour, 74 failures and 330
replacements a day. Bounds per node: 1.5 % of a core, 32 MB, 6 KB/s (here 6,000 B/s).
It does not say and this page assumes: 1,000 client accounts with 10,000 keys, of which one VM serves 50 accounts at a time; 10
keyed non-repeatable calls/s with answers of 512 B; one change in ten touches a selector; the default retention of 24 h;
one right for each runner; 1,024 prefix blocks cached by each engine. All runners are in use at peak.

## Control cost of one entry VM
The requests themselves are excluded. Processor time of calls between VMs counts the VM's side as caller and as callee;
that of the log and the list includes the stand-in's side, and is too high by about half.

| role | messages/s | B/s | % of a core | ± | MB | bound |
| --- | ---: | ---: | ---: | ---: | ---: | --- |
{{range .Rows}}| {{.Role}} | {{num .Messages}} | {{num .Bytes}} | {{num .CPU}} | {{num .Error}} | {{mb .Memory}} | {{unmet .}} |
{{end}}| **sum** | {{num .Total.Messages}} | {{num .Total.Bytes}} | {{num .Total.CPU}} | | {{mb .Total.Memory}} | {{unmet .Total}} |

Memory is live heap and stacks; the Go runtime holds up to twice that at its default GOGC.

| role | state | formula | what carries the cost |
| --- | --- | --- | --- |
{{range .Rows}}| {{.Role}} | {{.State}} | {{.Formula}} | {{.Mechanism}} |
{{end}}
### Rows not met, and what would meet them
By gain in processor time and bytes: residency, prefix maps, snapshots of keyed calls, loans, keyed calls, sessions, list.

{{range .Rows}}{{if ne (unmet .) "met"}}- **{{.Role}}** ({{unmet .}}): {{.Remedy}}.
{{end}}{{end}}
## The log
The platform takes several hundred appends/s. All VMs together, at target size:

| stream | appends/s | reads/s | cause |
| --- | ---: | ---: | --- |
{{range .Streams}}| {{.Name}} | {{num .Appends}} | {{num .Reads}} | {{.Cause}} |
{{end}}| **sum** | {{num .Appends}} | {{num .Reads}} | before VMs that are no homes paused between reads: {{num .Before}} reads/s without a record |

Snapshots come on top. Those of the once-N streams hold every answer of the window: 97,200 calls for each stream take
hundreds of parts of 256 KiB after each 1,000 records, which is the largest load on the log (row snapshots).

## Requests
Processor time of callers' connections in an entry VM (authentication, admission, queue, routing, stream), by the slopes
of fleets of 4 VMs with 10, 40 and 160 requests/s of one token, and with answers of 16, 64 and 256 tokens at 20 requests/s.

| unit | µs | ± | % of a core per VM at target |
| --- | ---: | ---: | ---: |
{{range .Requests}}| {{.Unit}} | {{num .CPU}} | {{num .Error}} | {{num .Total}} |
{{end}}| **sum** | | | {{num .Share}} |

A queued request holds its body (up to max-body) and a goroutine; the memory of requests was not measured.

## Measured fleets
All VMs, stand-ins and callers in one process; processor time is divided by profile labels, bytes are counted in relays,
both directions. "Control" is everything but callers' and admin connections, with the lowest and highest window. TLS is off.
Groups that end in "before" are older: "idle before" and "busy before" are without the pause between reads of the once-N
streams (their control column is the middle of low and high, and the accounts' limits refused most of the busy load above
30 requests/s), "accounts before" with a look at all shares for each account. Under three windows of 3 s a role below 0.05 %
has only a few samples; differences of control below 0.2 % are noise.

| group | VMs | runners | models | accounts | changes/s | served/s | control % of a core | low to high | largest roles | MB | goroutines | peers B/s | log B/s | list B/s | log reads/s | appends/s |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
{{range .Fleets}}| {{.Group}} | {{.VMs}} | {{.Runners}} | {{.Models}} | {{.Accounts}} | {{num .Changes}} | {{num .Served}} | {{num .Control}} | {{num .Low}} to {{num .High}} | {{roles .}} | {{mb .Memory}} | {{num .Goroutines}} | {{num (index .Bytes "peers")}} | {{num (index .Bytes "log")}} | {{num (index .Bytes "vm-list")}} | {{num .Reads}} | {{num .Appends}} |
{{end}}
Negative memory means that what an earlier fleet left behind was freed meanwhile.

## Fits
| series | unit | variable | measured at | intercept | slope | R² | ± at the largest size | noise % |
| --- | --- | --- | --- | ---: | ---: | ---: | ---: | ---: |
{{range .Series}}{{$l := fit .}}| {{.Name}} | {{.Unit}} | {{.Variable}} | {{sizes .}} | {{num $l.Intercept}} | {{num $l.Slope}} | {{num $l.R2}} | {{num (err $l (last .))}} | {{num (noise .)}} |
{{end}}`
