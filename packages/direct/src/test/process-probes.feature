Feature: probes of the processes of upstreams

  Scenario Outline: an upstream that is killed within an answer, with <others> other connections
    Guards against a part of an answer that counts as whole: the kernel of a process that was killed accepts connections for as long as it closes others.
    When 8 upstream processes with <others> other connections each are killed in turn within an answer, and probed at the end of its connection
    Then each of them counts as not running

    Examples:
      | others |
      | 0      |
      | 100    |
      | 1000   |

  Scenario Outline: an upstream that <what>
    Guards against a sound answer that counts as lost since the probe of its upstream was not understood.
    Given an upstream that <what>
    When it is probed 300 times at once
    Then it counts as <result> each time, and got at most 2 connections

    Examples:
      | what                                 | result      |
      | runs                                 | running     |
      | resets the connections that it opens | running     |
      | listens no more                      | not running |
