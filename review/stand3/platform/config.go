//go:build review

package main

const poisonConfig = `{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "services":[{"name":"pool","healthPath":"/healthz","maxConnections":360,"engine":{"slots":64,"kvCapacity":607437,"kvBytes":163840,"linkMbps":1100000.0,"stride":6}}],
 "routes":[{"name":"summary","host":"h.example","pathPrefix":"/summary/","type":"streaming","timeoutMs":12000,"targetLatencyMs":1200,
  "gapTargetMs":600,"priority":1,"service":"pool","maxAttempts":1,"sessionAffinity":true,"streamResume":false}],
 "tenants":[{"name":"crews","apiKeys":["key-crews"],"unit":"token","uncachedTokens":200,"ratePerS":2000000,"burst":2000000}]}`

// poisonPart is the part of a prompt on which engines crash.
const poisonPart = "bad0"
