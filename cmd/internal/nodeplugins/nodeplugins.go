// Package nodeplugins imports the plug-ins of a node, except that of the platform.
package nodeplugins

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
	_ "teaselring/plugins/movesguard"
	_ "teaselring/plugins/movesholder"
	_ "teaselring/plugins/nodeidentity"
	_ "teaselring/plugins/oncekeys"
	_ "teaselring/plugins/operatorsapi"
	_ "teaselring/plugins/upstreamlocal"
)
