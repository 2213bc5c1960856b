//! Stand-ins and drivers of the cases of this review, on the standard library alone. `stand-3 CASE FOLDER` plays a case: it
//! starts the courier by the deploy file's command, plays clients, endpoints and platform on loopback addresses, and writes
//! FOLDER/record.txt. It ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod play;

mod copied_answer;
mod disk_lowered;
mod endless_answers;
mod slow_discovery;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-3 CASE FOLDER");
        std::process::exit(2);
    };
    let Ok(mut play) = play::Play::new(folder) else {
        eprintln!("no record can be written in {folder}");
        std::process::exit(2);
    };
    let result = match case.as_str() {
        "disk-lowered" => disk_lowered::run(&mut play),
        "copied-answer" => copied_answer::run(&mut play),
        "endless-answers" => endless_answers::run(&mut play),
        "slow-discovery" => slow_discovery::run(&mut play),
        _ => Err(format!("no case {case}")),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(problem) => {
            play.log.say(&format!("the case could not run: {problem}"));
            2
        }
    };
    play.log.say(&format!("exit code {code}"));
    play.end();
    std::process::exit(code);
}
