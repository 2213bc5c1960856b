use crate::play::Play;
pub fn run(_play: &mut Play) -> Result<bool, String> {
    Err("todo".into())
}
