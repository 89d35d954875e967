package claims

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderhub.dev/corianderhub/internal/core/claim"
)

// Guards against a repeat that is refused for good, because the recorded answer of a request that ran
// was lost when the store was restored.
func TestOutcomeOverRestore(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, daemon := range []string{"a", "b"} {
		// beforeRecord is the time from the restore to the record, or, if negative, from the record to
		// the restore.
		for beforeRecord := -6 * step; beforeRecord <= 2*eraCheckInterval; beforeRecord += step {
			t.Run(fmt.Sprint(daemon, " ", beforeRecord), func(t *testing.T) {
				inCluster(t, func(t *testing.T, cs *cluster) { testOutcome(t, cs, daemon, beforeRecord) })
			})
		}
	}
}

// testOutcome checks that a repeat gets the answer of a request through daemon, whose record is
// made beforeRecord after the restore.
func testOutcome(t *testing.T, cs *cluster, daemon string, beforeRecord time.Duration) {
	t.Helper()
	ctx := context.Background()
	cs.node("b").Do(ctx, acquire("warm-up", "x", "p"))
	cs.st.Copy()
	op := acquire("booking", "x", "p")
	if got := cs.node(daemon).Do(ctx, op).Code; got != claim.Granted {
		t.Fatalf("claim = %v, want granted", got)
	}
	op.Outcome = &claim.Outcome{Status: http.StatusOK}
	if beforeRecord < 0 {
		cs.node(daemon).RecordInBackground(op)
		time.Sleep(-beforeRecord)
	}
	cs.st.Restore()
	if beforeRecord >= 0 {
		time.Sleep(beforeRecord)
		cs.node(daemon).RecordInBackground(op)
	}
	time.Sleep(5 * eraCheckInterval)
	for _, name := range []string{"a", "b"} {
		if got := cs.node(name).Do(ctx, acquire("booking", "y", "p")).Code; got != claim.Finished {
			t.Errorf("daemon %s: repeat = %v, want finished", name, got)
		}
	}
}

// Guards against a key that is granted twice because the first grant reached its daemon only after
// that had written its claims again, and the daemon that granted it ended.
func TestGrantReceivedAfterRestore(t *testing.T) {
	inCluster(t, func(t *testing.T, cs *cluster) {
		ctx := context.Background()
		cs.node("b").Do(ctx, acquire("warm-up", "x", "p"))
		cs.st.Copy()
		asking := cs.node("b")
		forward := asking.Forward
		asking.Forward = func(ctx context.Context, peer string, op claim.Op) (claim.Result, error) {
			res, err := forward(ctx, peer, op)
			if op.Kind != claim.Acquire {
				return res, err
			}
			cs.restart("a")
			cs.st.Restore()
			time.Sleep(5 * eraCheckInterval / 2)
			return res, err
		}
		if got := asking.Do(ctx, acquire("booking", "x", "p")).Code; got != claim.Granted {
			t.Fatalf("claim = %v, want granted", got)
		}
		time.Sleep(claim.HoldTime + 5*time.Second)
		if got := cs.node("a").Do(ctx, acquire("booking", "y", "p")).Code; got != claim.Duplicate {
			t.Errorf("repeat = %v, want duplicate", got)
		}
	})
}

// Guards against a key that stays claimed although its request certainly did not run, because the
// released claim came back when the store was restored.
func TestReleaseOverRestore(t *testing.T) {
	tests := []struct {
		name   string
		daemon string
		// inCopy is whether the copy that is restored holds the claim.
		inCopy bool
	}{
		{"merging daemon, claim not in the copy", "a", false},
		{"merging daemon, claim in the copy", "a", true},
		{"another daemon, claim not in the copy", "b", false},
		{"another daemon, claim in the copy", "b", true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, cs *cluster) {
				ctx := context.Background()
				cs.st.Copy()
				op := acquire("booking", "x", "p")
				cs.node(tc.daemon).Do(ctx, op)
				if tc.inCopy {
					cs.st.Copy()
				}
				op.Kind = claim.Release
				if got := cs.node(tc.daemon).Do(ctx, op).Code; got != claim.Applied {
					t.Fatalf("release = %v, want applied", got)
				}
				cs.st.Restore()
				time.Sleep(claim.HoldTime + 5*time.Second)
				if got := cs.node("b").Do(ctx, acquire("booking", "y", "p")).Code; got != claim.Granted {
					t.Errorf("repeat = %v, want granted", got)
				}
			})
		})
	}
}

// Guards against a key that is granted twice because the release of an earlier attempt, which a copy
// held, is written again and takes the later attempt's claim with it.
func TestReleaseKeepsLaterClaim(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprint("recorded ", recorded), func(t *testing.T) {
			inCluster(t, func(t *testing.T, cs *cluster) {
				ctx := context.Background()
				cs.restart("c")
				time.Sleep(5 * eraCheckInterval / 2)
				op := acquire("booking", "x", "p")
				cs.node("b").Do(ctx, op)
				cs.st.Copy()
				op.Kind = claim.Release
				cs.node("b").Do(ctx, op)
				op = acquire("booking", "y", "p")
				if got := cs.node("c").Do(ctx, op).Code; got != claim.Granted {
					t.Fatalf("claim after the release = %v, want granted", got)
				}
				cs.st.Restore()
				want := claim.Duplicate
				if recorded {
					op.Outcome = &claim.Outcome{Status: http.StatusOK}
					cs.node("c").RecordInBackground(op)
					want = claim.Finished
				}
				time.Sleep(claim.HoldTime + 5*time.Second)
				if got := cs.node("a").Do(ctx, acquire("booking", "z", "p")).Code; got != want {
					t.Errorf("repeat = %v, want %v", got, want)
				}
			})
		})
	}
}

// Guards against answers that are lost and against keys that stay claimed although nothing ran, under
// restores in series while two daemons book and release.
func TestAnswersOverRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 10, 40).Draw(rt, "steps")
		var err error
		inCluster(t, func(_ *testing.T, cs *cluster) { err = answersOverRestores(cs, steps) })
		if err != nil {
			rt.Error(err)
		}
	})
}

// answersOverRestores makes one request per step, a third of which are refused as not run, and restores
// copies that are up to copyInterval old.
func answersOverRestores(cs *cluster, steps []int) error {
	ctx := context.Background()
	want := make(map[string]claim.ResultCode)
	copied := time.Now()
	cs.st.Copy()
	for i, step := range steps {
		bo, key := cs.node([]string{"a", "b"}[step%2]), fmt.Sprint("key", i)
		op := acquire(key, "x", "p")
		if bo.Do(ctx, op).Code == claim.Granted {
			if step/2%3 == 0 {
				bo.ReleaseInBackground(op)
				want[key] = claim.Granted
			} else {
				op.Outcome = &claim.Outcome{Status: http.StatusOK}
				bo.RecordInBackground(op)
				want[key] = claim.Finished
			}
		}
		time.Sleep(time.Duration(step%500) * time.Millisecond)
		switch step / 6 % 5 {
		case 0:
			if time.Since(copied) < copyInterval {
				cs.st.Restore()
				time.Sleep(claim.HoldTime * time.Duration(step%2))
			}
		case 1, 2:
			cs.st.Copy()
			copied = time.Now()
		}
	}
	time.Sleep(claim.HoldTime + 5*time.Second)
	for key, code := range want {
		for _, name := range []string{"a", "b"} {
			op := acquire(key, "y", "p")
			if got := cs.node(name).Do(ctx, op).Code; got != code {
				return fmt.Errorf("daemon %s: repeat of %s = %v, want %v", name, key, got, code)
			}
		}
	}
	return nil
}
