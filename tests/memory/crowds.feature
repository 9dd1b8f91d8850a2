Feature: Crowds of clients that do not behave
  Each scenario has processes of its own, with little memory; the crowd comes at one listener.

  Background:
    Given the users' platform with two plain backends and two engines

  # Guards against an entry process that runs out of memory, however many send too much at once.
  Scenario Outline: An entry process stays within its memory as a crowd at its <listener> sends <habit>
    Given an entry process with 100 MB and 400 descriptors
    When 120 clients at its <listener> send "<habit>"
    Then it lives, below 100 MB and 380 open descriptors
    And an ordinary request is answered

    Examples: callers
      | listener             | habit                                                |
      | address for callers  | a request line without end                           |
      | address for callers  | a header line without end                            |
      | address for callers  | short header lines without end                       |
      | address for callers  | header lines of 1 KB without end                     |
      | address for callers  | another protocol's preface and bytes without end     |
      | address for callers  | CONNECT and bytes without end                        |
      | address for callers  | Upgrade and bytes without end                        |
      | address for callers  | 31 header lines of 16 KB and no end                  |
      | address for callers  | 120 header lines of 4 KB and no end                  |
      | address for callers  | 120 short header lines and no end                    |
      | address for callers  | one header line of 15 KB and no end                  |
      | address for callers  | whole heads over the limit                           |
      | address for callers  | empty lines without end                              |
      | address for callers  | 400 KB of empty lines and a head without end         |
      | address for callers  | bodies of 60 KB that stop                            |
      | address for callers  | bodies of 1 MB that stop                             |
      | address for callers  | a body in chunks of one byte without end             |
      | address for callers  | trailers without end                                 |
      | address for callers  | pipelined requests and reads no answer               |
      | address for callers  | pipelined heads of 15 KB and reads no answer         |

    Examples: other listeners
      | listener             | habit                                                |
      | directory            | a header line without end                            |
      | directory            | short header lines without end                       |
      | directory            | 31 header lines of 16 KB and no end                  |
      | directory            | pipelined heads of 15 KB and reads no answer         |
      | readiness            | a header line without end                            |
      | readiness            | short header lines without end                       |
      | readiness            | 31 header lines of 16 KB and no end                  |
      | readiness            | pipelined heads of 15 KB and reads no answer         |
      | internal address     | a header line without end                            |
      | internal address     | short header lines without end                       |
      | internal address     | 31 header lines of 16 KB and no end                  |
      | internal address     | pipelined heads of 15 KB and reads no answer         |
      | internal address     | requests for metrics and reads no answer             |
      | internal address     | requests for all items and reads no answer           |

  # Guards against an endpoint process that its own address brings down.
  Scenario Outline: An endpoint process stays within its memory as a crowd sends <habit>
    Given an endpoint process with 70 MB and 400 descriptors
    When 120 clients at its internal address send "<habit>"
    Then it lives, below 70 MB and 380 open descriptors
    And an ordinary request is answered

    Examples: habits
      | habit                                                |
      | a header line without end                            |
      | short header lines without end                       |
      | 31 header lines of 16 KB and no end                  |
      | pipelined heads of 15 KB and reads no answer         |

  # Guards against limits that hold in the direct mode only.
  Scenario Outline: A proxied <role> process stays within its memory as a crowd sends <habit>
    Given a proxied <role> process with 400 descriptors
    When 120 clients at its internal address send "<habit>"
    Then it lives, below 160 MB and 380 open descriptors
    And an ordinary request is answered

    Examples: habits
      | role     | habit                                                |
      | entry    | a header line without end                            |
      | entry    | short header lines without end                       |
      | entry    | 31 header lines of 16 KB and no end                  |
      | entry    | pipelined heads of 15 KB and reads no answer         |
      | endpoint | a header line without end                            |
      | endpoint | short header lines without end                       |
      | endpoint | 31 header lines of 16 KB and no end                  |
      | endpoint | pipelined heads of 15 KB and reads no answer         |
      | entry    | bodies of 3 MB for a model that stop                 |
      | entry    | control messages of 3 MB that stop                   |
      | endpoint | bodies of 3 MB for a run that stop                   |
      | endpoint | control messages of 3 MB that stop                   |

  # Guards against connections without a request that take all descriptors of a process.
  Scenario Outline: An entry process keeps descriptors as a crowd at its <listener> sends nothing
    Given an entry process with 300 MB and 200 descriptors
    When 400 clients at its <listener> send "nothing"
    Then it lives, below 300 MB and 195 open descriptors
    And an ordinary request is answered

    Examples: listeners
      | listener            |
      | address for callers |
      | directory           |
      | readiness           |
      | internal address    |

  # Guards against connections without a request that take all descriptors of a process.
  Scenario: An endpoint process keeps descriptors as a crowd sends nothing
    Given an endpoint process with 168 MB and 200 descriptors
    When 400 clients at its internal address send "nothing"
    Then it lives, below 168 MB and 195 open descriptors
    And an ordinary request is answered

  # Guards against connections without a request that take all descriptors of a process.
  Scenario Outline: A proxied <role> process keeps descriptors as a crowd sends nothing
    Given a proxied <role> process with 200 descriptors
    When 400 clients at its internal address send "nothing"
    Then it lives, below 160 MB and 195 open descriptors
    And an ordinary request is answered

    Examples: roles
      | role     |
      | entry    |
      | endpoint |

  # Guards against connections of other processes that leave no descriptor for callers.
  Scenario: Callers are served beside a crowd that keeps requests open at the internal address
    Given an entry process with 300 MB and 200 descriptors
    When 400 clients at its internal address send "long polls for items", a caller is served meanwhile
    Then it lives, below 300 MB and 195 open descriptors

  # Guards against limits on crowds that callers within all limits meet.
  Scenario: Callers whose heads are as long as allowed are all served
    Given an entry process with 300 MB and 4100 descriptors
    When 300 callers have sent all but the end of heads of 16384 bytes
    Then each of them is served once it sends the end
    And it lives, below 300 MB and 1000 open descriptors
