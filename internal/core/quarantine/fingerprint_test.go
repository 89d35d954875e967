package quarantine

import "testing"

// Guards against a retried request that is not recognized under another identifier or at another
// daemon, and against a different request with the same fingerprint, which would be refused.
func TestFingerprint(t *testing.T) {
	base := Content{Method: "POST", Host: "models.example", URI: "/draft/1", Caller: "nursery", Body: []byte("question")}
	change := func(fn func(*Content)) Content {
		co := base
		fn(&co)
		return co
	}
	tests := []struct {
		name string
		co   Content
		same bool
	}{
		{"again", change(func(*Content) {}), true},
		{"other method", change(func(co *Content) { co.Method = "PUT" }), false},
		{"other host", change(func(co *Content) { co.Host = "other.example" }), false},
		{"other path", change(func(co *Content) { co.URI = "/draft/2" }), false},
		{"other caller", change(func(co *Content) { co.Caller = "trust" }), false},
		{"other body", change(func(co *Content) { co.Body = []byte("questions") }), false},
		{"same bytes, split otherwise", change(func(co *Content) { co.URI, co.Caller = "/draft/", "1nursery" }), false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if same := tc.co.Fingerprint() == base.Fingerprint(); same != tc.same {
				t.Errorf("same fingerprint: %v, want %v", same, tc.same)
			}
		})
	}
}
