Feature: ends of answers that only their connections end, with sidecars
  Guards against a part of an answer that is passed on as complete, and against a sidecar that ends when such an answer ends while
  its caller is slow.

  Scenario Outline: a <caller> caller, <upload> bytes sent, connection reset <wait> ms after the last data
    When 10 calls of a <caller> caller with <upload> bytes are answered with 1000 bytes, then "reset" after <wait> ms
    Then all fail as ones that may have run

    Examples:
      | caller | upload  | wait |
      | ready  | 0       | 0    |
      | busy   | 0       | 0    |
      | slow   | 0       | 0    |
      | ready  | 5000000 | 0    |
      | busy   | 5000000 | 0    |
      | ready  | 0       | 5    |
      | busy   | 5000000 | 5    |
      | slow   | 0       | 5    |
      | ready  | 0       | 30   |
      | slow   | 0       | 30   |

  Scenario Outline: a <caller> caller, <upload> bytes sent, connection closed <wait> ms after <size> bytes
    Guards against a sound answer that is refused or shortened.
    When 10 calls of a <caller> caller with <upload> bytes are answered with <size> bytes, then "end" after <wait> ms
    Then all are complete with <size> bytes

    Examples:
      | caller | upload  | wait | size    |
      | ready  | 0       | 0    | 1000    |
      | busy   | 0       | 0    | 1000    |
      | slow   | 0       | 0    | 1000    |
      | ready  | 5000000 | 0    | 1000    |
      | busy   | 5000000 | 0    | 1000    |
      | slow   | 0       | 30   | 1000    |
      | ready  | 0       | 0    | 0       |
      | ready  | 0       | 0    | 3000000 |
      | busy   | 0       | 0    | 3000000 |
      | slow   | 0       | 0    | 3000000 |

  Scenario Outline: a slow caller, an answer with a length, then <end> after <wait> ms
    Guards against a whole answer that is refused since its connection ends before its caller has read it.
    When 10 calls of a slow caller are answered with 1000 bytes and their length, then "<end>" after <wait> ms
    Then all are complete with 1000 bytes

    Examples:
      | end   | wait |
      | end   | 0    |
      | end   | 5    |
      | reset | 0    |
