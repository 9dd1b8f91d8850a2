Feature: Admission by level of urgency
  The priorities of the requests for a service give at most three levels. Decisions run without a
  network or a clock.

  Scenario Outline: The distinct priorities of a service are its levels
    # Guards against levels where all requests have one priority, against a workspace's priority
    # that hides those of the routes, and against a route's that goes before it. The levels are
    # those of the first workspace's requests.
    Given routes with the priorities <routes> and workspaces with the priorities <workspaces>
    Then requests of the priorities <routes> have the levels <levels>

    Examples:
      | routes  | workspaces | levels    |
      | 4,4     | none       | None,None |
      | 2,0,1   | none       | 2,0,1     |
      | 9,3     | route      | 1,0       |
      | 9,3     | 5          | 1,0       |
      | 4,4     | 5          | None,None |
      | 4,4     | 5 and 1    | 1,1       |
      | 0,2     | 5 and 1    | 1,2       |
      | 0,1,2   | 5 and 1    | 1,2,2     |
      | 1,2,3,4 | none       | 0,0,1,2   |

  Scenario Outline: The rank in the engine's queue is level first, late ones last
    # Guards against late requests that displace requests which can still be on time.
    Then a <kind> request of level <level> has the rank <rank>

    Examples:
      | kind  | level | rank |
      | long  | 0     | 0    |
      | usual | 0     | 0    |
      | long  | 2     | 2    |
      | usual | 2     | 2    |
      | late  | 0     | 3    |
      | late  | 2     | 5    |

  Scenario: The forecast leaves out waiting requests that are less urgent
    # Guards against urgent requests that are refused for a queue which they overtake.
    Given a backend with all slots in use and 6 waiting requests of level 1
    Then the forecast of level 0 is shorter than that of level 1
    And the forecast of level 1 is that of a service without levels

  Scenario: The forecast allows for more urgent requests that arrive during the wait
    # Guards against less urgent requests that are admitted and then overtaken until they are late.
    Given a backend with all slots in use and 6 waiting requests of level 1
    Then the forecast of level 1 is longer if half of the recent work was of level 0

  Scenario: Load reports carry the requests below each level
    # Guards against a process that takes the less urgent requests of another one for urgent ones.
    Given load reports of a process with one waiting request of each level
    Then the receiver counts 2 requests below level 0 and 1 below level 1
    And it counts none below any level in a report of the previous build

  Scenario: An overdue less urgent request does not count as a sign of a hanging backend
    # Guards against urgent requests that are refused because a less urgent one waits in the queue.
    Given a backend where a request of level 2 has waited for 0.9 s
    Then level 0 sees no overdue first event there, and level 2 sees 0.9 s

  Scenario Outline: Less urgent levels are limited only while a shortage of a more urgent one lasts
    # Guards against refusals in a short burst, and against slots that are held by requests which
    # cost callers less than those that are refused.
    Given requests of level 0 whose forecasts show a shortage for <seconds> s
    Then a request of level 2 with a forecast of 0.6 s and a target of 1.0 s is <outcome>

    Examples:
      | seconds | outcome  |
      | 0.4     | admitted |
      | 2.0     | refused  |

  Scenario: A refusal by a limit says when the limit will allow the request
    # Guards against retries that come while the limit of their level is still in force.
    Given requests of level 0 whose forecasts show a shortage for 2.0 s
    Then a request of level 2 with a forecast of 0.2 s is allowed after about 2 s, not before

  Scenario: Refusals are counted and logged by level
    # Guards against an overload in which operators cannot see whose requests are refused.
    When a request of level 2 is refused for overload
    Then the counter of level 2 and "overload" has grown by 1
    And the log line has its level, forecast and limit

  Scenario: One in ten requests of a level is admitted in any case
    # Guards against a level that gets nothing for the whole of an overload.
    When 100 requests of level 2 with a forecast of 9 s are decided within a second
    Then 10 of them are admitted

  Scenario: A level is not refused altogether for long while its target can be met
    # Guards against starvation of a level with few requests a second.
    Given requests of level 0 whose forecasts show a shortage for 5 s
    When a request of level 1 is decided every 0.4 s with a forecast of 0.35 s
    Then none of them waits over 1.5 s for the next one that is admitted

  Scenario: Retries of callers are admitted like first attempts of their level
    # Guards against second refusals, which cost callers most.
    Then a late request of level 1 with a forecast of 0.9 of its target is admitted
    And a late request without a level and with that forecast is refused

  Scenario: More urgent classes are on time more often, and callers get more
    # Guards against less urgent classes with a long target that displace urgent ones.
    When classes of three priorities are simulated at a load of 1.3 with bursts
    Then the shares on time are in the order of the priorities
    And callers get more than without levels
