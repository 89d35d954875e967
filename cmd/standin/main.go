// Command standin runs test doubles of the systems that corianderhub depends on: the
// platform, model engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"corianderhub.dev/corianderhub/internal/platform"
	"corianderhub.dev/corianderhub/internal/standin"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	pa := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	pa.AddCommand("platform", "run the platform: key-value service, list of VMs, weight store", "", &platformCommand{ctx: ctx})
	pa.AddCommand("engine", "run the model engine of one VM", "", &engineCommand{ctx: ctx})
	pa.AddCommand("service", "run a plain service", "", &serviceCommand{ctx: ctx})
	if _, err := pa.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// listenFlags are the flags of all commands, which each run one HTTP server.
type listenFlags struct {
	Listen string `long:"listen" required:"yes" description:"IP:port"`
}

// serve serves handler and runs background beside it until either of them ends. The
// context of background ends with ctx or when the server fails.
func (lf listenFlags) serve(ctx context.Context, handler http.Handler, background func(context.Context) error) error {
	ln, err := net.Listen("tcp", lf.Listen)
	if err != nil {
		return err
	}
	sv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	var gr run.Group
	backgroundCtx, cancel := context.WithCancel(ctx)
	gr.Add(func() error { return background(backgroundCtx) }, func(error) { cancel() })
	gr.Add(func() error { return sv.Serve(ln) }, func(error) { sv.Close() })
	err = gr.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// waitDone is the background task of servers that have none. It blocks until ctx ends.
func waitDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// platformCommand runs the test double of the platform.
type platformCommand struct {
	ctx context.Context
	listenFlags
	VMs              []string `long:"vm" description:"NAME,IP:PORT,DATA-CENTER,FABRIC-DOMAIN"`
	WeightsPerMinute int      `long:"weights-per-minute"`
}

// Execute implements flags.Commander.
func (pc *platformCommand) Execute([]string) error {
	var vms []platform.VM
	for _, text := range pc.VMs {
		parts := strings.Split(text, ",")
		if len(parts) != 4 {
			return fmt.Errorf("--vm %q: want NAME,IP:PORT,DATA-CENTER,FABRIC-DOMAIN", text)
		}
		vms = append(vms, platform.VM{Name: parts[0], Address: parts[1], DataCenter: parts[2], FabricDomain: parts[3], State: platform.VMLive})
	}
	return pc.serve(pc.ctx, standin.NewPlatform(vms, pc.WeightsPerMinute).Handler(), waitDone)
}

// engineCommand runs the test double of the model engine on one VM.
type engineCommand struct {
	ctx context.Context
	listenFlags
	VM             string        `long:"vm" required:"yes"`
	Platform       string        `long:"platform" description:"address of the weight store"`
	LoadTime       time.Duration `long:"load-time" default:"500ms"`
	TokenTime      time.Duration `long:"token-time" default:"20ms"`
	PrefillTime    time.Duration `long:"prefill-time" default:"100ms"`
	Slots          int           `long:"slots"`
	IgnoresFencing bool          `long:"ignores-fencing"`
}

// Execute implements flags.Commander.
func (ec *engineCommand) Execute([]string) error {
	en := &standin.Engine{
		VM:             ec.VM,
		Incarnation:    fmt.Sprintf("%d-%d", time.Now().UnixNano(), os.Getpid()),
		Platform:       ec.Platform,
		LoadTime:       ec.LoadTime,
		TokenTime:      ec.TokenTime,
		PrefillTime:    ec.PrefillTime,
		Slots:          ec.Slots,
		IgnoresFencing: ec.IgnoresFencing,
	}
	return ec.serve(ec.ctx, en.Handler(), en.Run)
}

// serviceCommand runs the test double of a plain service.
type serviceCommand struct {
	ctx context.Context
	listenFlags
}

// Execute implements flags.Commander.
func (sc *serviceCommand) Execute([]string) error {
	return sc.serve(sc.ctx, (&standin.Service{}).Handler(), waitDone)
}
