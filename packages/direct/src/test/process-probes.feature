Feature: probes of the processes of upstreams

  Scenario Outline: an upstream that is killed within an answer, with <others> other connections
    Guards against a part of an answer that counts as whole: the kernel of a process that was killed accepts connections for as long as it closes others.
    Given an upstream process to which <others> other connections are open
    When it is killed within an answer, and is probed at the end of the answer's connection
    Then it counts as not running

    Examples:
      | others |
      | 0      |
      | 100    |
      | 400    |

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
