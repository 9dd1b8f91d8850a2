Feature: Decisions of entry processes
  The modules run without a network.

  Scenario: All entry processes together keep to the retry budget
    When any number of entry processes retry as often as their budgets allow
    Then no window has more retries than the shared budget allows

  # Guards against BUDGET broken by processes that start again within a window, and count too few.
  Scenario: Entry processes that are killed again and again keep to the retry budget
    When all of 46 entry processes retry whenever they may, and are killed three times in 10 s
    Then no window has more retries than the shared budget allows

  Scenario: Requests go to the engine with the earliest expected first event
    When a burst of 300 requests is placed on engines of different speed
    Then no engine's expected time to the next first event is twice that of another

  Scenario: A request that cannot meet its target is refused
    Given engines that are all full
    When a request is placed
    Then it is refused with a retry delay

  Scenario: Each target version is required from its own time on
    Given a target version set 9 s ago and a newer one set 2 s ago
    When the version that a request requires is determined
    Then it is the older of the two

  Scenario Outline: A version that a process finds at its start is required soon, whatever the bound
    Given a process that finds a target version in the store at its start
    When requests arrive under a bound of <bound> s
    Then they require the version after 3 s

    Examples:
      | bound |
      | 8     |
      | 9.7   |
      | 60    |

  Scenario Outline: A version that a process finds late after its start is required no later
    Given a process that finds a target version in the store <delay> s after its start
    Then requests require the version <seconds> s after its start

    Examples: late
      | delay | seconds |
      | 0     | 2.7     |
      | 0.2   | 2.7     |
      | 1.5   | 2.7     |

  Scenario: A process that was cut off at its start requires a version soon after it hears of it
    Given a process that finds a target version in the store 60 s after its start
    Then requests require the version 62.7 s after its start

  Scenario Outline: A version that was replaced before a process heard of it is required all the same
    Given a process that <knowledge>
    And a peer that knows of a target version set 9 s ago and of a newer one set 2 s ago
    When the peer tells it of its changes
    Then version <version> is required <seconds> s later under a bound of 8 s

    Examples: replaced
      | knowledge                         | seconds | version |
      | last heard of the store 10 s ago  | 0       | 2       |
      | last heard of the store 600 s ago | 0       | 2       |
      | has just started                  | 3       | 3       |

  Scenario: Versions that follow each other closely, and skip a number, are not required at once
    Given a process that last heard of the store 600 s ago
    And a peer that knows of target versions 2 and 4 set 0.3 s apart
    When the peer tells it of its changes
    Then version 0 is required 2 s later under a bound of 8 s

  Scenario: A request of a route without a target is not late from the start
    When an engine request of a route without a target is ranked
    Then it has the default rank

  Scenario: Each sixteenth full broadcast names other processes, however many load deltas are sent
    Given an entry process that knows a live peer
    When it sends 32 full broadcasts, and after each a load delta
    Then two of the full ones name the peer

  Scenario: A request is refused if no engine holds the required weights
    Given a target version set 9 s ago and a newer one set 2 s ago
    And engines that hold an older version than both
    When a request is placed
    Then it is refused with a retry delay

  Scenario: The first entry process of each zone watches the store
    When 3 entry processes in 2 zones receive each other's broadcasts
    Then 2 of them watch the store
    And all watch once the store has answered none of them lately

  Scenario: Callers get addresses of their zone, and others if those are few
    When callers of a zone with 2 entry processes and of one with none ask for addresses
    Then the first get the 2 and the second get all

  Scenario: Log lines about requests are rate-limited, and dropped ones are counted
    When 1000 lines are logged within a second
    Then at most 70 are written
    And the next line says how many were dropped

  Scenario: A restarted entry process is accepted although its clock was set back
    When an entry process broadcasts, stops and restarts with an older time
    Then its new broadcasts are accepted once the old ones have stopped

  Scenario: A line names a request with the first 128 characters of its id
    Guards against callers whose ids, as long as a head, fill the log.
    When a request with an id of 10000 characters is turned away
    Then the line has 128 of them

  Scenario: A slow reader of the log causes lost lines, but no delay
    When 2000 lines are written to a pipe that nobody reads, and then it is read
    Then writing took less than a second
    And the next line says how many were lost

  Scenario: A request does not queue at an engine until its weights are too old
    Given a target version set 7 s ago that no engine holds yet
    And one engine that is full and one that is idle
    When a request is placed, and again with the idle engine already tried
    Then the full engine is not chosen, the idle one is

  Scenario Outline: A stream that would delay an engine about to load goes to another one
    Given one engine that loads other weights in 1 s and one with more load
    When a stream of <tokens> tokens is placed
    Then it goes to <engine>

    Examples:
      | tokens | engine                |
      | 10     | the engine that loads |
      | 260    | the other engine      |

  Scenario: Entry processes of a region receive each other's load changes at once
    Given three entry processes of one region and one of another that exchange broadcasts
    When one of the three sends a request to a backend
    Then the other two count it, and the one of the other region does not yet
    When the request has ended
    Then none of them counts it any more

  Scenario: Broadcasts keep to the allowed rate
    Given three entry processes of one region and one of another that exchange broadcasts
    When one of them sends broadcasts as often as it may for 10 s while its load changes
    Then they take no more than the allowed rate

  Scenario: A caller with a short deadline is not taken for a retry
    Given callers that wait between 5.2 s and 6 s for an answer
    When each sends a request, and retries it 1.2 s later
    Then none counts as a retry the first time, and all do the second time

  Scenario: The longest remaining time of callers expires
    Given callers that wait between 5.2 s and 6 s for an answer
    When they wait between 2.6 s and 3 s from then on
    Then none counts as a retry after 60 s

  Scenario: Entry processes of a large region are sharded into peer groups
    When any entry processes and engines of a region are sharded into peer groups
    Then members of a group agree, and each engine is preferred by one group

  Scenario: A backend that one entry process finds replaced is not tried by the others
    Given three entry processes of one region and one of another that exchange broadcasts
    When one of the three finds another incarnation at a backend's address
    Then the other two exclude it as well

  Scenario: A later incarnation at an address replaces the earlier one for good
    Given a backend whose successor registered at its address
    When its own registration is written again afterwards
    Then only the successor is used

  Scenario: A watcher without an answer from the store is not relied on, although its load deltas arrive
    Given three entry processes of one region and one of another that exchange broadcasts
    When the store answers none of them, though load deltas are still sent
    Then the second watches the store itself within 2 s

  Scenario: A silent entry process does not become alive again
    Given three entry processes of one region and one of another that exchange broadcasts
    When one of the three stops sending
    Then it counts as gone after 1.2 s and never as alive again

  Scenario: A send is cancelled before the weights of its backend are too old to start on
    Given a backend on whose weights nothing may start from 2 s on
    When a request that is expected to start in time is sent there
    Then the send is cancelled before, though it may not be retried

  # Guards against sends that are cancelled for a version bound that is no longer in force.
  Scenario Outline: A version bound of <bound> s in place of 8 s applies to sends that wait
    Given a backend on whose weights nothing may start from 2 s on
    When a request is sent there, the backend loads version 2, and the bound becomes <bound> s
    Then the send is cancelled between <least> and <most> s later

    Examples: bounds that a reload of the settings brings
      | bound | least | most |
      | 8     | 1.4   | 1.8  |
      | 7     | 0.4   | 0.8  |
      | 60    | 53.4  | 53.8 |
      | 0     | inf   | inf  |

  Scenario: A backend that delays its first events gets no more requests
    Given two backends, one of which has delayed a first event for 1 s
    When a request is placed
    Then it goes to the backend without a delay

  Scenario: A first event from weights that are too old is logged and counted
    Given a target version set 9 s ago and a newer one set 2 s ago
    When first events come from versions 1, 2 and 3
    Then only that of version 1 is logged and counted

  Scenario: An entry process that lacks a peer's changes does not broadcast that its replica is current
    Given an entry process whose own last answer from the store is 10 s old
    When a peer broadcasts a newer revision that the store has just confirmed
    Then its next broadcast says that its replica is at least 10 s old

  Scenario: If the processes that watch the store lose it, the next of their zones watch it
    Given three entry processes of one region and one of another that exchange broadcasts
    When the first of each zone loses the store and broadcasts that
    Then the second of the zone with three watches the store at once

  Scenario Outline: A change is in force in time though all that watch the store <fault>
    Given 41 entry processes in 4 zones that broadcast to samples of their peers
    When all that watch the store <fault>, and a change is made
    Then every other process has the change within <seconds> s

    Examples: large
      | fault                        | seconds |
      | are turned away by it        | 2       |
      | hear nothing from it         | 2       |
      | are cut off from all others  | 3       |

  Scenario: Slow messages do not keep processes in the belief that their replica is current
    Given 41 entry processes in 4 zones whose messages take 100 ms
    When all that watch the store are cut off from all others, and a change is made
    Then every other process has the change within 3 s

  Scenario: A poison request is known to every entry process in time
    Given 41 entry processes in 4 zones that broadcast to samples of their peers
    When two of them see a backend crash with the same request
    Then all of them refuse it 4 s later

  Scenario Outline: A version heard of after an outage counts from its end only if the store was down for all
    Given 9 entry processes in 3 zones of which one has had no answer for 12 s, and that hears <heard> others
    When the others <state>, and a target version is set as the store answers again
    Then that process takes the version to be at most <seconds> s old

    Examples: outage
      | heard             | state                       | seconds |
      | all               | have had no answer for 12 s | 3       |
      | 4                 | have had no answer for 12 s | 13      |
      | two zones' of the | have had no answer for 12 s | 13      |
      | all               | have had an answer 1 s ago  | 13      |
