package main

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             string
	attempts                    int
}

// config returns the value of op/config.
func config(version string, routes []route, services ...string) map[string]any {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"Name": r.name, "Host": "ficu95.example", "Prefix": r.prefix, "Kind": r.kind, "Timeout": r.timeout,
			"TargetLatency": r.target, "Priority": 1, "Service": r.service, "MaxAttempts": r.attempts,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": maxServerConn, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": rs, "Services": ss,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
}
