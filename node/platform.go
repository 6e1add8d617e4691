package node

import (
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/infra/httpclient"
)

// logClient returns the client of the log, whose traffic counts as control bytes.
func (n *Node) logClient() infra.Log {
	client := httpclient.NewLogClient(n.settings.LogURL)
	client.SetDial(n.metrics.ControlDial("log"))
	return client
}

// hostsClient returns the client of the host list, whose traffic counts as control bytes.
func (n *Node) hostsClient() infra.Hosts {
	client := httpclient.NewHostsClient(n.settings.HostsURL)
	client.SetDial(n.metrics.ControlDial("hosts"))
	return client
}

// cloudClient returns the client of the cloud API, whose traffic counts as control bytes.
func (n *Node) cloudClient() infra.Cloud {
	client := httpclient.NewCloudClient(n.settings.CloudURL)
	client.SetDial(n.metrics.ControlDial("cloud"))
	return client
}
