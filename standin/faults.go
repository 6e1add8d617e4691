package standin

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defaultNotice is the notice of a reclaim that names none.
const defaultNotice = 5 * time.Second

// fault is one switch of the fault API.
type fault struct {
	// path after POST /faults, with {id} for an upstream.
	path string
	// usage says what it does and which parameters it takes.
	usage string
	// apply switches it.
	apply func(p *params) error
}

// params are the parameters of one switch; the first bad one is kept as the error.
type params struct {
	query url.Values
	id    string
	err   error
}

func (p *params) fail(name, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("parameter %s=%q: must be %s", name, p.query.Get(name), want)
	}
}

func (p *params) number(name string) int64 {
	n, err := strconv.ParseInt(p.query.Get(name), 10, 64)
	if err != nil || n < 0 {
		p.fail(name, "a whole number, 0 or more")
	}
	return n
}

func (p *params) decimal(name string) float64 {
	f, err := strconv.ParseFloat(p.query.Get(name), 64)
	if err != nil || f < 0 {
		p.fail(name, "a number, 0 or more")
	}
	return f
}

func (p *params) duration(name string, absent time.Duration) time.Duration {
	if !p.query.Has(name) {
		return absent
	}
	d, err := time.ParseDuration(p.query.Get(name))
	if err != nil || d < 0 {
		p.fail(name, "a time like 500ms or 5s")
	}
	return d
}

// FaultHandler serves the fault API: GET /faults lists the switches, POST on one of
// them switches it.
func (d *Deployment) FaultHandler() http.Handler {
	faults := slices.Concat(d.logFaults(), d.cloudFaults(), d.storeFaults(), d.upstreamFaults())
	mux := http.NewServeMux()
	var usage strings.Builder
	for _, f := range faults {
		fmt.Fprintf(&usage, "POST /faults%s  %s\n", f.path, f.usage)
		mux.HandleFunc("POST /faults"+f.path, func(w http.ResponseWriter, r *http.Request) { switchFault(w, r, f) })
	}
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, usage.String())
	})
	return mux
}

func switchFault(w http.ResponseWriter, r *http.Request, f fault) {
	p := &params{query: r.URL.Query(), id: r.PathValue("id")}
	err := f.apply(p)
	if p.err != nil {
		err = p.err
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%s: done\n", strings.ReplaceAll(f.path, "{id}", p.id))
}

// always wraps a switch that can't fail once its parameters are read.
func always(apply func(p *params)) func(p *params) error {
	return func(p *params) error {
		apply(p)
		return nil
	}
}

func (d *Deployment) logFaults() []fault {
	return []fault{
		{"/log/down", "the log refuses every call", always(func(*params) { d.Log.SetDown(true) })},
		{"/log/up", "the log works again", always(func(*params) {
			d.Log.SetDown(false)
			d.Log.SetDelay(0)
		})},
		{"/log/slow", "?by=500ms delays every call", always(func(p *params) {
			if by := p.duration("by", time.Second); p.err == nil {
				d.Log.SetDelay(by)
			}
		})},
		{"/log/lose", "?n=1 appends take effect and lose their answer", always(func(p *params) {
			if n := p.number("n"); p.err == nil {
				d.Log.DropResponses(int(n))
			}
		})},
		{"/log/trim", "?stream=config&below=10 drops old records", always(func(p *params) {
			if below := p.number("below"); p.err == nil {
				d.Log.Trim(p.query.Get("stream"), below)
			}
		})},
		{"/log/silence", "open connections to the log go silent for good", always(func(*params) { d.logServer.BlackholeConnections() })},
	}
}

func (d *Deployment) cloudFaults() []fault {
	refuse := func(refused bool) func(p *params) error {
		return always(func(p *params) {
			d.Cloud.RefuseStarts(p.query.Get("class"), p.query.Get("data_centre"), refused)
		})
	}
	return []fault{
		{"/cloud/down", "the cloud API refuses every call", always(func(*params) { d.Cloud.SetDown(true) })},
		{"/cloud/up", "the cloud API works again", always(func(*params) { d.Cloud.SetDown(false) })},
		{"/cloud/refuse", "?class=spot-a&data_centre=nizwa refuses starts; one left out is any", refuse(true)},
		{"/cloud/allow", "?class=spot-a&data_centre=nizwa takes that refusal back", refuse(false)},
		{"/cloud/delay", "?by=10s is how long a start takes", always(func(p *params) {
			if by := p.duration("by", hostStartDelay); p.err == nil {
				d.Cloud.SetStartDelay(by)
			}
		})},
		{"/cloud/lose", "?n=1 starts take effect and lose their answer", always(func(p *params) {
			if n := p.number("n"); p.err == nil {
				d.Cloud.DropStartResponses(int(n))
			}
		})},
		{"/cloud/reclaim", "?data_centre=nizwa or ?host=engine-01, &notice=5s", d.reclaim},
		{"/hosts/lag", "?by=10s is how late the host list is", always(func(p *params) {
			if by := p.duration("by", hostListLag); p.err == nil {
				d.Cloud.SetListLag(by)
			}
		})},
		{"/hosts/torn", "?share=0.5 is the part that the host list lacks; 0 mends it", always(func(p *params) {
			if share := p.decimal("share"); p.err == nil {
				d.Cloud.TruncateList(min(1, share))
			}
		})},
	}
}

func (d *Deployment) reclaim(p *params) error {
	notice := p.duration("notice", defaultNotice)
	if p.err != nil {
		return p.err
	}
	centre, host := p.query.Get("data_centre"), p.query.Get("host")
	switch {
	case centre == "" && host == "":
		return fmt.Errorf("parameter data_centre or host is needed")
	case centre == "":
		d.Cloud.Reclaim(host, notice)
	case !slices.Contains(d.description.DataCentres, centre):
		return fmt.Errorf("parameter data_centre=%q: must be one of %v", centre, d.description.DataCentres)
	default:
		d.Cloud.ReclaimDataCentre(centre, notice)
	}
	return nil
}

func (d *Deployment) storeFaults() []fault {
	return []fault{
		{"/weights/down", "the weight store refuses every call", always(func(*params) { d.Weights.SetDown(true) })},
		{"/weights/up", "the weight store works again", always(func(*params) { d.Weights.SetDown(false) })},
		{"/weights/rate", "?bytes_per_second=1000000 is what it sends", always(func(p *params) {
			if rate := p.decimal("bytes_per_second"); p.err == nil {
				d.Weights.SetRate(rate)
			}
		})},
	}
}
