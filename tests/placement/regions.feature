Feature: Regions in which requests may be served
  Routes and workspaces name them in the configuration. The modules run without a network.

  Scenario Outline: A request is served where its route and its workspace both allow it
    # Guards against a workspace without regions lifting those of its route, and the reverse.
    Given a route that allows the regions "<route>" and a workspace that allows "<workspace>"
    Then a request of both may be served in "<regions>"

    Examples: allowed
      | route | workspace | regions |
      | -     | -         | any     |
      | a,b   | -         | a,b     |
      | -     | b         | b       |
      | a,b   | b,c       | b       |
      | a     | b         | none    |

  Scenario Outline: A value of another type in a <place> is a malformed configuration
    # Guards against a malformed restriction being taken for none.
    Given a fleet with a configuration in force
    When a configuration comes whose <place> has the allowed regions <value>
    Then the configuration before stays in force

    Examples: malformed
      | place     | value          |
      | route     | "region-a"     |
      | route     | 7              |
      | route     | {"region-a":1} |
      | route     | ["region-a",1] |
      | route     | false          |
      | workspace | ""             |

  Scenario Outline: Allowed regions of <value> mean any region
    Given a fleet with a configuration in force
    When a configuration comes whose route has the allowed regions <value>
    Then its route allows any region

    Examples: any
      | value |
      | []    |
      | null  |

  Scenario: A region that the settings lack is logged once and has no backend
    # Guards against a line for each request or each configuration.
    Given a fleet with a configuration in force
    When a configuration comes whose route has the allowed regions ["region-x"]
    And a configuration comes whose route has the allowed regions ["region-x"]
    Then one line names the unknown region "region-x"

  Scenario: No backend outside the allowed regions is chosen, although it has no load
    # Guards against the cheapest backend being chosen wherever it is.
    Given engines in "zone-a,zone-a,zone-b,zone-x"
    And many requests run in all zones but "zone-b,zone-x"
    Then requests that allow "region-a" are sent to "zone-a" only
    And requests that allow "region-b" are sent to "zone-b" only
    And requests that allow "zone-x" are sent to "zone-x" only
    And requests that allow "any" are sent to "zone-b,zone-x" only

  Scenario: A retry stays inside the allowed regions, even if all their backends have failed it
    # Guards against an untried backend elsewhere being preferred to a tried one.
    Given engines in "zone-a,zone-b"
    Then a retry that allows "region-a" is sent to "zone-a" after a failure there

  Scenario Outline: A request whose allowed regions have <case> is refused at once
    # Guards against a wait for a backend, and against the pause of one elsewhere being told.
    Given engines in "<zones>"
    And the engines in "zone-b" have asked for a pause of 2 s
    Then a request that allows "<regions>" is refused at once for "no-backend-in-region"

    Examples: refused
      | case        | zones         | regions  |
      | no backend  | zone-b        | region-a |
      | no region   | zone-a,zone-b | none     |
      | no settings | zone-a,zone-b | region-x |

  Scenario: A pause in the allowed regions is told, although backends elsewhere are free
    Given engines in "zone-a,zone-b"
    And the engines in "zone-b" have asked for a pause of 2 s
    Then a request that allows "region-b" is refused for "paused"

  Scenario Outline: A caller in <zone> of a host with allowed regions gets the addresses of <given>
    # Guards against callers without a near entry process being spread over all regions.
    Given entry processes in "zone-a,zone-a,zone-b,zone-c"
    Then callers in "<zone>" of a host that allows "<regions>" get the addresses in "<given>"

    Examples: addresses
      | zone   | regions  | given                       |
      | zone-a | region-b | zone-a,zone-a               |
      | zone-b | region-c | zone-b,zone-c               |
      | zone-x | region-b | zone-b                      |
      | zone-x | region-x | zone-a,zone-a,zone-b,zone-c |
      | zone-x | any      | zone-a,zone-a,zone-b,zone-c |

  Scenario Outline: A host whose routes allow "<first>" and "<second>" has the regions "<regions>"
    Given a host with routes that allow "<first>" and "<second>"
    Then its callers are sent to the regions "<regions>"

    Examples: hosts
      | first | second | regions |
      | -     | -      | -       |
      | a     | -      | a       |
      | a,b   | b      | b       |
      | a     | b      | a,b     |
