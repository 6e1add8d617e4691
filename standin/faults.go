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

// defaultNotice is the notice period of a reclaim without a notice parameter.
const defaultNotice = 5 * time.Second

// fault is one fault of the fault API.
type fault struct {
	// path follows POST /faults, with {id} for an upstream.
	path string
	// usage describes the effect and the parameters.
	usage string
	// apply injects or removes the fault.
	apply func(p *params) error
}

// params are the parameters of one call; err is the error of the first invalid one.
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

func (p *params) duration(name string, defaultValue time.Duration) time.Duration {
	if !p.query.Has(name) {
		return defaultValue
	}
	d, err := time.ParseDuration(p.query.Get(name))
	if err != nil || d < 0 {
		p.fail(name, "a time like 500ms or 5s")
	}
	return d
}

// FaultHandler serves the fault API: GET /faults lists the faults, POST on one of them applies
// it.
func (d *Deployment) FaultHandler() http.Handler {
	faults := slices.Concat(d.logFaults(), d.cloudFaults(), d.weightStoreFaults(), d.upstreamFaults())
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

// withoutError adapts an apply function that can't fail after its parameters are parsed.
func withoutError(apply func(p *params)) func(p *params) error {
	return func(p *params) error {
		apply(p)
		return nil
	}
}

func (d *Deployment) logFaults() []fault {
	return []fault{
		{"/log/down", "the log refuses every call", withoutError(func(*params) { d.Log.SetDown(true) })},
		{"/log/up", "the log works again", withoutError(func(*params) {
			d.Log.SetDown(false)
			d.Log.SetDelay(0)
		})},
		{"/log/slow", "?by=500ms delays every call", withoutError(func(p *params) {
			if by := p.duration("by", time.Second); p.err == nil {
				d.Log.SetDelay(by)
			}
		})},
		{"/log/lose", "?n=1 appends take effect and lose their answer", withoutError(func(p *params) {
			if n := p.number("n"); p.err == nil {
				d.Log.DropResponses(int(n))
			}
		})},
		{"/log/trim", "?stream=config&below=10 drops old records", withoutError(func(p *params) {
			if below := p.number("below"); p.err == nil {
				d.Log.Trim(p.query.Get("stream"), below)
			}
		})},
		{"/log/silence", "open connections to the log go silent for good", withoutError(func(*params) { d.logServer.BlackholeConnections() })},
	}
}

func (d *Deployment) cloudFaults() []fault {
	refuse := func(refused bool) func(p *params) error {
		return withoutError(func(p *params) {
			d.Cloud.RefuseStarts(p.query.Get("class"), p.query.Get("data_centre"), refused)
		})
	}
	return []fault{
		{"/cloud/down", "the cloud API refuses every call", withoutError(func(*params) { d.Cloud.SetDown(true) })},
		{"/cloud/up", "the cloud API works again", withoutError(func(*params) { d.Cloud.SetDown(false) })},
		{"/cloud/refuse", "?class=spot-a&data_centre=nizwa refuses starts; one left out is any", refuse(true)},
		{"/cloud/allow", "?class=spot-a&data_centre=nizwa takes that refusal back", refuse(false)},
		{"/cloud/delay", "?by=10s is how long a start takes", withoutError(func(p *params) {
			if by := p.duration("by", hostStartDelay); p.err == nil {
				d.Cloud.SetStartDelay(by)
			}
		})},
		{"/cloud/lose", "?n=1 starts take effect and lose their answer", withoutError(func(p *params) {
			if n := p.number("n"); p.err == nil {
				d.Cloud.DropStartResponses(int(n))
			}
		})},
		{"/cloud/reclaim", "?data_centre=nizwa or ?host=engine-01, &notice=5s", d.reclaim},
		{"/hosts/lag", "?by=10s is how late the host list is", withoutError(func(p *params) {
			if by := p.duration("by", hostListLag); p.err == nil {
				d.Cloud.SetListLag(by)
			}
		})},
		{"/hosts/torn", "?share=0.5 is the part that the host list lacks; 0 mends it", withoutError(func(p *params) {
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
	dataCentre, host := p.query.Get("data_centre"), p.query.Get("host")
	switch {
	case dataCentre == "" && host == "":
		return fmt.Errorf("parameter data_centre or host is needed")
	case dataCentre == "":
		d.Cloud.Reclaim(host, notice)
	case !slices.Contains(d.description.DataCentres, dataCentre):
		return fmt.Errorf("parameter data_centre=%q: must be one of %v", dataCentre, d.description.DataCentres)
	default:
		d.Cloud.ReclaimDataCentre(dataCentre, notice)
	}
	return nil
}

func (d *Deployment) weightStoreFaults() []fault {
	return []fault{
		{"/weights/down", "the weight store refuses every call", withoutError(func(*params) { d.Weights.SetDown(true) })},
		{"/weights/up", "the weight store works again", withoutError(func(*params) { d.Weights.SetDown(false) })},
		{"/weights/rate", "?bytes_per_second=1000000 is what it sends", withoutError(func(p *params) {
			if rate := p.decimal("bytes_per_second"); p.err == nil {
				d.Weights.SetRate(rate)
			}
		})},
	}
}
