Feature: Operating the direct mode

  Scenario: Changed settings are applied without a restart
    Given a daemon of the direct mode with its settings file
    When the version bound and the extra retries change in the file and the daemon reloads it
    Then they are in force

  Scenario Outline: Settings that <fault> are not applied
    Given a daemon of the direct mode with its settings file
    When the file is changed so that it <fault> and the daemon reloads it
    Then the former settings are still in force
    And the log line of the reload has the outcome "<outcome>" and names <setting>

    Examples:
      | fault                     | outcome         | setting          |
      | cannot be read            | unreadable      | JSON             |
      | names another vm          | needs a restart | vm               |
      | lacks its section         | unreadable      | direct           |
      | names another store       | needs a restart | platform         |
      | changes direct.front      | needs a restart | direct.front     |
      | changes direct.readiness  | needs a restart | direct.readiness |
      | changes direct.directory  | needs a restart | direct.directory |
      | changes direct.engine     | needs a restart | direct.engine    |

  Scenario Outline: The log events in the code are those of the schema, in <mode> mode
    When the log events are collected from the modules of <mode> mode
    Then they are those of the schema

    Examples:
      | mode    |
      | direct  |
      | proxied |

  Scenario: Requests are explained from the log lines of two processes
    Given the logs of two processes with a refused and an answered request and a truncated line
    When the refused request is explained
    Then its lines come in order and the cause names the expected and the allowed time
    When the answered request is explained
    Then the cause names the backend that failed before

  Scenario: Log lines are checked against the schema
    Given the logs of two processes with a refused and an answered request and a truncated line
    When the logs are checked
    Then the truncated line and the line without its fields are found

  Scenario: Log lines of the proxied mode are not taken for unknown events
    Given a log of the proxied mode in which one line lacks a field
    When the logs are checked
    Then only the line without its field is found

  # Guards against a reload that ends a process which starts, or is lost.
  Scenario: A daemon that is told to reload while it reads its settings starts, and reads them again
    Given the users' platform with two plain backends and two engines
    When an entry process of its own gets SIGHUP while it reads its settings
    Then it becomes ready, and has read its settings again

  # Guards against lines of connections, signals and the stop that cannot be told apart by process.
  Scenario: Every log line of a daemon names its VM and its role
    Given the users' platform with two plain backends and two engines
    And an entry process of its own that is ready
    When it serves one request, refuses one and is told to stop
    Then each of its log lines names its VM and its role, those about requests too

  # Guards against a caller's aborted connection that no line explains.
  Scenario: The log says why the connection of a stream was aborted
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the log lines about requests are collected
    And all engines are "truncated-event"
    When a caller opens a stream that may not be resumed
    Then the connection ends without a complete answer
    And the last line of that request is "request.cut" with its reason, events, time and retries left

  # Guards against requests whose end no line tells, beside lines that were dropped.
  Scenario: A request whose send was logged has its end in the log, however many lines are dropped
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And all plain backends are "slow"
    And the log of requests takes 6 lines a second
    When callers send 30 look-ups at once
    Then lines were dropped, and each request whose send was logged has one line about its end
    And no more lines were written than the limit allows

  # Guards against requests that end in silence.
  Scenario Outline: The log says why a request has no answer: <cause>
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the log lines about requests are collected
    When a request ends without an answer, as <cause>
    Then the last line of that request is "<event>" and its reason names <reason>

    Examples: causes
      | cause                                       | event              | reason       |
      | its caller leaves before its body is whole  | request.cancelled  | the caller   |
      | its caller leaves before it is answered     | request.cancelled  | the caller   |
      | an unexpected error is raised               | request.unexpected | RuntimeError |
