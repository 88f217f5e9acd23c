package main

// The plug-ins of a node. Each registers itself in its init function.
import (
	_ "teaselring/plugins/audittrail"
	_ "teaselring/plugins/callforward"
	_ "teaselring/plugins/callrouter"
	_ "teaselring/plugins/callslots"
	_ "teaselring/plugins/configsource"
	_ "teaselring/plugins/configstore"
	_ "teaselring/plugins/edgecallers"
	_ "teaselring/plugins/edgeoperators"
	_ "teaselring/plugins/edgepeers"
	_ "teaselring/plugins/linkoverlay"
	_ "teaselring/plugins/membershipview"
	_ "teaselring/plugins/nodeidentity"
	_ "teaselring/plugins/oncekeys"
	_ "teaselring/plugins/operatorsapi"
	_ "teaselring/plugins/platformhttp"
	_ "teaselring/plugins/upstreamlocal"
)
