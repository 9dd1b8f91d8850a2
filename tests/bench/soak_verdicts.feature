Feature: Verdicts on what happened in a soak

  Scenario Outline: A made-up history with a fault breaks its verdict and no other
    Given the history of a soak without a fault
    When in it <fault>
    Then just the verdict "<verdict>" is broken

    Examples:
      | fault                                                      | verdict                             |
      | a stream ends after 3 of its events                        | no sound answer is cut              |
      | a whole answer ends within its body                        | no sound answer is cut              |
      | a stream is cut before the timeouts that were in force     | no sound answer is cut              |
      | a stream is cut long after its process was killed          | no sound answer is cut              |
      | a stream is cut while another process is killed            | no sound answer is cut              |
      | a stream is cut 5 s after its process got SIGTERM          | no sound answer is cut              |
      | a stream is cut in a stop that began 4 s before its sending | no sound answer is cut             |
      | a request that was passed on is closed without an answer   | every request gets an answer        |
      | a request is closed 2 s after its sending, without an answer | every request gets an answer      |
      | a request that was passed on is closed by a process that was stopped | every request gets an answer |
      | an unsafe request runs twice                               | an unsafe request runs at most once |
      | a request runs that was answered not-run                   | not-run is true                     |
      | a request runs on a second backend before it is answered not-run | not-run is true               |
      | 8 requests are repeated twice within a second              | repeats stay within their limit     |
      | a deadly request is sent on 4 times too late               | a deadly request is not sent on     |
      | 4 requests run on 3 backends                               | no request runs on more backends than its route allows |
      | 21 requests are handed on without a deadline               | no more time is handed on than is left |
      | 21 requests are handed on with 0.6 s more than they have   | no more time is handed on than is left |
      | 21 late repeats end after their first send and their caller | no more time is handed on than is left |
      | a process ends without a signal                            | no process ends by itself           |
      | a process ends after SIGHUP                                | no process ends by itself           |
      | a process ends with an error after SIGTERM                 | no process ends by itself           |
      | a process has needed 301 MB of 300                         | no process needs more memory than its machine has |

  Scenario Outline: What callers lose otherwise breaks no verdict
    Given the history of a soak without a fault
    When in it <loss>
    Then no verdict is broken

    Examples:
      | loss                                              |
      | a stream is cut by the end of a killed process    |
      | a stream is cut at its deadline                   |
      | a stream is cut at the timeout of its route       |
      | a stream is cut late in the grace period          |
      | a request that was not passed on crosses the close of its connection |
      | a request is closed 2 s after its sending, as its process was stopped |
      | a killed process closes a connection              |
      | a caller finds no connection                      |
      | a request is refused as not-run                   |
      | a caller leaves at its deadline                   |
      | a safe request runs twice                         |
      | 6 requests are repeated twice within a second     |
      | 7 requests of two services are repeated twice within a second |
      | a deadly request is sent on 3 times too late      |
      | a deadly request is sent on 4 times by processes that were started 2 s before |
      | 3 requests run on 3 backends                      |
      | 4 requests run on 3 backends, of which one has crashed |
      | 20 requests are handed on without a deadline      |
      | 21 requests that stood unread are handed on without a deadline |
      | a stream is cut by its backend                    |
      | a process ends after SIGTERM                      |
      | a process has needed 299 MB of 300                |
      | a process ends after SIGKILL                      |

  Scenario Outline: The shortest timeout that was in force is allowed
    Given configurations with timeouts of 6, 2 and 4 seconds at 0, 20 and 30 seconds
    Then a request from <start> to <end> seconds may take <allowed> seconds

    Examples:
      | start | end | allowed |
      | 1     | 5   | 6       |
      | 18    | 22  | 2       |
      | 24    | 29  | 2       |
      | 34    | 36  | 2       |
      | 36    | 40  | 4       |
