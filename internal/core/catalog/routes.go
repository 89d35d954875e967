package catalog

import "strings"

// routeIndex finds routes by host and prefix.
type routeIndex map[string]map[string]*Route

// Prepare builds the indexes of a decoded configuration. A lookup then costs a
// map access for each slash of the path, however many routes there are.
func (co *Config) BuildIndexes() {
	co.index = make(routeIndex)
	for i := range co.Routes {
		ro := &co.Routes[i]
		host := strings.ToLower(ro.Host)
		if co.index[host] == nil {
			co.index[host] = make(map[string]*Route)
		}
		co.index[host][ro.Prefix] = ro
	}
	co.keys = make(map[string]*Workspace)
	for i := range co.Workspaces {
		for _, key := range co.Workspaces[i].Keys {
			co.keys[key] = &co.Workspaces[i]
		}
	}
}

// Route returns the route of the host with the longest prefix that begins the
// path, or nil.
func (co *Config) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	prefixes := co.index[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if ro, ok := prefixes[path[:end+1]]; ok {
			return ro
		}
	}
	return nil
}
