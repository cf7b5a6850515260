Feature: answers that never end

  Scenario Outline: a call of the store or of an entry is answered with <what> without end
    Guards against a process that reads such bytes as fast as it can until the time limit of the call.
    When a call with a time limit of 10000 ms is answered with "<what>" without end
    Then it ends within 2000 ms as too large, and its connection is closed

    Examples:
      | what                     |
      | HTTP/1.1 100 Continue    |
      | HTTP/1.1 103 Early Hints |
      | line ends                |
      | a chunk's size           |
      | a body                   |

  Scenario: an entry that pauses itself while the rest of a refusal arrives
    Guards against a sound server that counts as one that never ends its refusals, since the entry has not read what has arrived.
    When the process is blocked for 700 ms after the rest of a refusal was sent
    Then nothing counts as too much

  Scenario: events that are split between reads at any place
    Guards against a limit or a faster search that loses or joins events of a sound stream.
    Then a framer and a naive one return the same events for 2000 random splits of streams
